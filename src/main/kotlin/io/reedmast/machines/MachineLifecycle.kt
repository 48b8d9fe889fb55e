package io.reedmast.machines

import io.reedmast.autoscaling.ScaleInPolicy
import io.reedmast.commands.CommandDispatcher
import io.reedmast.model.DecommissionReason
import io.reedmast.model.Machine
import io.reedmast.model.ShardState
import io.reedmast.ports.Cloud
import org.slf4j.LoggerFactory
import java.util.concurrent.TimeUnit

/**
 * Decides which machines of a shard stay, move to another shard or are returned to the cloud.
 *
 * A machine that is to leave the shard has a [DecommissionReason], which determines whether it is drained first, and
 * whether it is returned or transferred.
 */
class MachineLifecycle(
    private val shardState: ShardState,
    cloud: Cloud,
    dispatcher: CommandDispatcher,
    private val scaleInPolicy: ScaleInPolicy,
    private val requests: MachineLifecycleRequests,
) {
    private val log = LoggerFactory.getLogger("shard")
    private val workerLossDetector = WorkerLossDetector(shardState)
    private val silentDetector = SilentMachineDetector(shardState)
    private val unreachableDetector = UnreachableMachineDetector(shardState)
    private val idleDetector = IdleMachineDetector(shardState, scaleInPolicy)
    private val contestedHandler = ContestedMachineHandler(shardState, silentDetector.silentAfterMs)
    private val drainer = MachineDrainer(dispatcher)
    private val returner = MachineReturner(shardState, cloud, requests)

    /**
     * The last time at which this controller was unable to answer workers or to make decisions; silence of a machine
     * before that proves nothing.
     */
    private var observationGapUntil = 0L

    /** Whether the machine has been returned to the cloud, even if the records still contain it. */
    fun isGone(machineName: String) = returner.isGone(machineName)

    /** Called when the shard's records have been read: they now contain only the machines [machineNames]. */
    fun onRecordedMachines(machineNames: Set<String>) = returner.onRecordedMachines(machineNames)

    /** Called periodically: re-evaluates every machine, and returns those that are to be returned. */
    fun runOnce(now: Long) {
        if (shardState.isCurrent()) {
            decideAll(now)
        } else {
            // During a long outage this controller turns workers away; afterwards all of them would seem to have been
            // silent.
            observationGapUntil = now
        }
        returner.runOnce(now)
    }

    private fun decideAll(now: Long) {
        if (workerLossDetector.isFailoverDue(observationGapUntil, now)) requests.requestFailover()
        silentDetector.decommissionSilent(observationGapUntil, now)
        unreachableDetector.decommissionUnreachable()
        val headroom = scaleInPolicy.headroom(now)
        val transferable = ArrayList<String>()
        decideContested(now)
        for (machine in shardState.machines.values.filter { !it.isContested }) {
            if (isBootOverdue(machine, now)) decommissionNotBooted(machine, now)
            if (machine.reclaimAt != 0L) onReclaimNotice(machine, now)
            when (machine.decommissionReason) {
                null -> decommissionIfIdle(machine, headroom, now)

                DecommissionReason.MISSED_HEARTBEATS,
                DecommissionReason.UNREACHABLE,
                DecommissionReason.BOOT_TIMEOUT,
                -> returner.returnMachine(machine)

                DecommissionReason.UNHEALTHY -> drainOrReturnUnhealthy(machine, now)

                DecommissionReason.IDLE -> returnIfStillIdle(machine)

                DecommissionReason.TRANSFER -> if (prepareTransfer(machine, now)) transferable.add(machine.name)
            }
        }
        if (transferable.isNotEmpty()) requests.transferMachines(transferable)
    }

    private fun decideContested(now: Long) {
        val contested = shardState.machines.values.filter { it.isContested }
        if (contested.isEmpty()) return
        val (releasable, needed) = contested.partition { contestedHandler.isReleasable(it, now) }
        if (releasable.isNotEmpty()) requests.releaseContested(releasable.map { it.name })
        for (machine in needed.filter { !it.isReturning && contestedHandler.isLost(it, observationGapUntil, now) }) {
            contestedHandler.logLost(machine, now)
            returner.returnMachine(machine)
        }
    }

    private fun isBootOverdue(machine: Machine, now: Long): Boolean {
        val machineType = machine.machineType ?: return false
        if (machine.everReported || machine.decommissionReason != null) return false
        val maxBootS = machineType.bootS * MAX_BOOT_FACTOR + BOOT_SLACK_S
        return now - machine.firstSeenAt > maxBootS * MS_PER_S
    }

    private fun decommissionNotBooted(machine: Machine, now: Long) {
        log.info("machine {}: not up after {} s, decommissioned", machine.name, secondsSince(machine.firstSeenAt, now))
        machine.decommissionReason = DecommissionReason.BOOT_TIMEOUT
    }

    /** Handles the cloud's notice that it will reclaim the machine. */
    private fun onReclaimNotice(machine: Machine, now: Long) {
        drainer.drainForReclaim(machine, machine.reclaimAt, now)
        val isLate = now - machine.lastHeartbeatAt > shardState.heartbeatLateMs
        val isTimeUp = machine.reclaimAt in 1..now
        if (!isTimeUp || !isLate || machine.decommissionReason != null) return
        log.info("machine {}: reclaimed by the cloud as announced, decommissioned", machine.name)
        machine.decommissionReason = DecommissionReason.MISSED_HEARTBEATS
    }

    private fun decommissionIfIdle(machine: Machine, headroom: ScaleInPolicy.Headroom, now: Long) {
        if (!idleDetector.isIdle(machine, headroom, observationGapUntil, now)) return
        log.info(
            "machine {}: empty for {} s, decommissioned",
            machine.name,
            secondsSince(machine.emptySince, now),
        )
        headroom.remove(machine)
        machine.decommissionReason = DecommissionReason.IDLE
        returner.returnMachine(machine)
    }

    private fun drainOrReturnUnhealthy(machine: Machine, now: Long) {
        val isSilent = now - machine.lastHeartbeatAt > silentDetector.silentAfterMs
        if (machine.placements.isEmpty() || isSilent) {
            returner.returnMachine(machine)
        } else {
            drainer.drainUnhealthy(machine)
        }
    }

    /** Returns an idle machine, unless it has got a placement since it was found idle; then it is kept. */
    private fun returnIfStillIdle(machine: Machine) {
        if (machine.placements.isEmpty()) {
            returner.returnMachine(machine)
        } else {
            machine.decommissionReason = null
        }
    }

    /**
     * Drains a machine that is to move to another shard. Returns whether it may be transferred now: nothing is on it or
     * on its way there, and an owner that restored the shard from the store would find no placements on it either.
     */
    private fun prepareTransfer(machine: Machine, now: Long): Boolean {
        val isFree = machine.placements.isEmpty() && machine.pendingDirectCalls == 0
        if (!isFree) drainer.drainForTransfer(machine, now)
        val isTransferable = isFree && machine.isDurablyEmpty
        val isLongSilent = now - machine.lastHeartbeatAt > silentDetector.silentAfterMs * 2
        if (machine.everReported && isLongSilent) {
            machine.decommissionReason = DecommissionReason.MISSED_HEARTBEATS
        }
        return isTransferable
    }

    private fun secondsSince(time: Long, now: Long) = TimeUnit.MILLISECONDS.toSeconds(now - time)

    private companion object {
        const val MS_PER_S = 1000.0

        /** A machine not up after this many times its type's usual boot time, plus a few seconds, is decommissioned. */
        const val MAX_BOOT_FACTOR = 2.5
        const val BOOT_SLACK_S = 5.0
    }
}

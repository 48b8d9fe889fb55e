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
 * A machine that is to go has a [DecommissionReason]; that says whether it is drained first, and whether it is returned
 * or transferred.
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

    /** When this controller last was unable to answer workers or to decide: silence before that says nothing. */
    private var observationGapUntil = 0L

    /** Whether the machine is returned, whatever the records still say. */
    fun isGone(machineName: String) = returner.isGone(machineName)

    /** The shard's records now name [machineNames] only. */
    fun onRecordedMachines(machineNames: Set<String>) = returner.onRecordedMachines(machineNames)

    /** Called periodically: decides anew on every machine, and returns those that are to go. */
    fun runOnce(now: Long) {
        if (shardState.isCurrent()) {
            decideAll(now)
        } else {
            // Workers are turned away during a long outage; after one, all of them would seem to have been silent.
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
            if (machine.reclaimAt != 0L) onNotice(machine, now)
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

    /** The cloud has announced that it takes the machine back. */
    private fun onNotice(machine: Machine, now: Long) {
        drainer.drainForNotice(machine, machine.reclaimAt, now)
        val isLate = now - machine.lastHeartbeatAt > shardState.heartbeatLateMs
        val isTimeUp = machine.reclaimAt in 1..now
        if (!isTimeUp || !isLate || machine.decommissionReason != null) return
        log.info("machine {}: taken back by the cloud as announced, decommissioned", machine.name)
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

    /** A machine that has got a placement since it was found idle is kept. */
    private fun returnIfStillIdle(machine: Machine) {
        if (machine.placements.isEmpty()) {
            returner.returnMachine(machine)
        } else {
            machine.decommissionReason = null
        }
    }

    /**
     * Drains a machine that is to move to another shard. Returns whether it may be transferred now: nothing is there,
     * nor would an owner that reads what is stored think so.
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

        /** A machine that is not up after so many times its type's usual boot, and a few seconds, is given up. */
        const val MAX_BOOT_FACTOR = 2.5
        const val BOOT_SLACK_S = 5.0
    }
}

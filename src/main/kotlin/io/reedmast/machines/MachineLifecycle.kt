package io.reedmast.machines

import io.reedmast.autoscaling.ScaleInPolicy
import io.reedmast.commands.CommandDispatcher
import io.reedmast.model.DecommissionReason
import io.reedmast.model.Machine
import io.reedmast.model.ShardState
import io.reedmast.model.StopReason
import io.reedmast.ports.Cloud
import org.slf4j.LoggerFactory

/** Which machines of a shard stay, move or go. */
class MachineLifecycle(
    private val shardState: ShardState,
    private val cloud: Cloud,
    private val dispatcher: CommandDispatcher,
    private val scaleInPolicy: ScaleInPolicy,
    private val removeMachines: (Set<String>) -> Unit,
    private val transferMachines: (Collection<String>) -> Unit,
    private val requestFailover: () -> Unit,
) {
    private val log = LoggerFactory.getLogger("shard")
    private val toReturn = LinkedHashSet<Machine>()
    private var returnInFlight = false

    /** Hosts that are returned but may still stand in the shard's records. */
    private val gone = HashSet<String>()
    private var removeDue = 0L
    private var requestDue = 0L

    /** When this controller last was unable to answer workers or to decide: silence before that says nothing. */
    private var observationGapUntil = 0L

    fun isGone(machineName: String) = machineName in gone

    /** The shard's records now name [machineNames] only. */
    fun onRecordedMachines(machineNames: Set<String>) {
        gone.retainAll(machineNames)
    }

    fun runOnce(now: Long) {
        watch(now)
        sendReturns()
        if (gone.isNotEmpty() && now >= removeDue) {
            removeDue = now + REMOVE_EVERY_MS
            removeMachines(gone)
        }
    }

    private fun watch(now: Long) {
        if (!shardState.isCurrent()) {
            // Workers are turned away during a long outage; after one, all of them would seem to have been silent.
            observationGapUntil = now
            return
        }
        val silentAfterMs = (shardState.settings.workers.reportS * 1000 * MISSED_HEARTBEATS_LIMIT).toLong()
        detectLossOfWorkers(now)
        decommissionSilent(now, silentAfterMs)
        decommissionUnreachable()
        val headroom = scaleInPolicy.headroom(now)
        val empty = ArrayList<String>()
        for (machine in shardState.machines.values.toList()) {
            val machineType = machine.machineType
            if (!machine.everReported && machine.decommissionReason == null && machineType != null &&
                now - machine.firstSeenAt > (machineType.bootS * LOST_BOOT_FACTOR + LOST_BOOT_S) * 1000
            ) {
                log.info(
                    "machine {}: not up after {} s, decommissioned",
                    machine.name,
                    (now - machine.firstSeenAt) / 1000,
                )
                machine.decommissionReason = DecommissionReason.BOOT_TIMEOUT
            }
            val notice = machine.noticeUntil
            if (notice != 0L) drain(machine, notice, now)
            if (notice in 1..now && now - machine.lastHeartbeatAt > shardState.heartbeatLateMs &&
                machine.decommissionReason == null
            ) {
                log.info("machine {}: taken back by the cloud as announced, decommissioned", machine.name)
                machine.decommissionReason = DecommissionReason.MISSED_HEARTBEATS
            }
            when (machine.decommissionReason) {
                null -> if (idle(machine, now, headroom)) decommissionIdle(machine, headroom)

                DecommissionReason.MISSED_HEARTBEATS,
                DecommissionReason.UNREACHABLE,
                DecommissionReason.BOOT_TIMEOUT,
                -> returnMachines(machine)

                DecommissionReason.UNHEALTHY -> if (machine.placements.isEmpty() ||
                    now - machine.lastHeartbeatAt > silentAfterMs
                ) {
                    returnMachines(machine)
                } else {
                    drainUnhealthy(machine)
                }

                DecommissionReason.IDLE -> if (machine.placements.isEmpty()) {
                    returnMachines(machine)
                } else {
                    machine.decommissionReason =
                        null
                }

                DecommissionReason.TRANSFER -> {
                    if (machine.placements.isNotEmpty() || machine.directCalls > 0) {
                        drainMoving(machine, now)
                    } else if (machine.isEmptyAsStored) {
                        empty.add(machine.name)
                    }
                    if (now - machine.lastHeartbeatAt > silentAfterMs * 2 &&
                        machine.everReported
                    ) {
                        machine.decommissionReason = DecommissionReason.MISSED_HEARTBEATS
                    }
                }
            }
        }
        if (empty.isNotEmpty()) transferMachines(empty)
    }

    /**
     * Nearly all machines falling silent within one report's time is this controller's loss of its workers. It still
     * has its keys and hears the store, so nobody else can tell as soon, and the workers' leases are short.
     */
    private fun detectLossOfWorkers(now: Long) {
        val lateMs = shardState.heartbeatLateMs
        if (now < requestDue ||
            now - maxOf(shardState.activeAt, observationGapUntil) < lateMs * SETTLED_HEARTBEATS
        ) {
            return
        }
        val heard = shardState.machines.values.filter { it.trusted && it.decommissionReason == null }
        val overdue = heard.count { now - it.lastHeartbeatAt > lateMs }
        val newlySilent = heard.count { now - it.lastHeartbeatAt in lateMs..lateMs * SETTLED_HEARTBEATS }
        if (heard.size < MIN_MACHINES_TO_JUDGE || overdue < heard.size * NEARLY_ALL ||
            newlySilent * 2 < heard.size
        ) {
            return
        }
        requestDue = now + REQUEST_EVERY_MS
        requestFailover()
    }

    private fun decommissionSilent(now: Long, silentAfterMs: Long) {
        // A machine that was up before we took the shard must show itself to us too, and may need a greeting for that.
        val heard = shardState.machines.values.filter { it.everReported || it.placements.isNotEmpty() }
        val silent = heard.filter {
            now -
                maxOf(
                    it.lastHeartbeatAt,
                    shardState.activeAt + silentAfterMs / 2,
                    observationGapUntil + silentAfterMs,
                ) >
                silentAfterMs
        }
        // If most machines are silent at once, it is rather this controller that hears nothing.
        val patience = if (silent.size * 2 > heard.size &&
            heard.size > 1
        ) {
            (shardState.settings.workers.leaseS * 1000).toLong()
        } else {
            0L
        }
        for (machine in silent) {
            if (machine.decommissionReason != null &&
                machine.decommissionReason != DecommissionReason.TRANSFER
            ) {
                continue
            }
            if (now - maxOf(machine.lastHeartbeatAt, shardState.activeAt) <= silentAfterMs + patience) continue
            log.info(
                "machine {}: no heartbeat for {} s, decommissioned",
                machine.name,
                (now - machine.lastHeartbeatAt) / 1000,
            )
            machine.decommissionReason = DecommissionReason.MISSED_HEARTBEATS
            shardState.silentMachinesByZone.getOrPut(machine.record.zone) { ArrayDeque() }.addLast(now)
        }
    }

    /**
     * Machines that report and hear nothing. Several at once would rather be this controller's own answers that get
     * lost.
     */
    private fun decommissionUnreachable() {
        val deaf = shardState.machines.values.filter {
            it.unacknowledged >= Machine.UNREACHABLE_AFTER &&
                it.decommissionReason == null
        }
        if (deaf.isEmpty()) return
        if (deaf.size > maxOf(MAX_UNREACHABLE, shardState.machines.size / 4)) {
            log.info(
                "shard {}: {} machines seem unreachable, which suggests a fault of this controller",
                shardState.index.value,
                deaf.size,
            )
            deaf.forEach { it.unacknowledged = 0 }
            return
        }
        for (machine in deaf) {
            log.info("machine {}: sends heartbeats but is unreachable, decommissioned", machine.name)
            machine.decommissionReason = DecommissionReason.UNREACHABLE
        }
    }

    private fun drainUnhealthy(machine: Machine) {
        machine.placements.values.toList().forEach { dispatcher.stop(it, StopReason.DRAINED) }
    }

    /**
     * What soon ends on a machine that is to move is waited for; for the rest, the shard that gets it would wait too
     * long.
     */
    private fun drainMoving(machine: Machine, now: Long) {
        // Marked as idle, and given work before the mark was known here: that is not stopped a moment after it was
        // placed.
        if (machine.placements.values.any { it.madeAt > machine.movingSince - JUST_PLACED_MS }) return
        for (placement in machine.placements.values.toList()) {
            val spec = placement.job.spec
            val ranS = if (placement.running) (now - placement.runningSince) / 1000.0 else 0.0
            val endsSoon =
                !spec.service && placement.running && spec.estimateS - ranS < ScaleInPolicy.ENDS_SOON_S &&
                    ranS < spec.estimateS + ScaleInPolicy.ENDS_SOON_S
            if (!endsSoon) dispatcher.stop(placement, StopReason.DRAINED)
        }
    }

    private fun drain(machine: Machine, noticeUntil: Long, now: Long) {
        val left = (noticeUntil - now) / 1000.0
        for (placement in machine.placements.values.toList()) {
            if (placement.stopReason != null) continue
            val spec = placement.job.spec
            val ranS = if (placement.running) (now - placement.runningSince) / 1000.0 else 0.0
            val finishes = !spec.service && placement.running && spec.estimateS - ranS < left - 1.0
            val lastMoment = left < (if (spec.resumable) spec.saveS + DRAIN_SLACK_S else 0.0)
            if (spec.service || !placement.running || lastMoment ||
                (!spec.resumable && !finishes)
            ) {
                dispatcher.stop(placement, StopReason.DRAINED)
            }
        }
    }

    private fun idle(machine: Machine, now: Long, headroom: ScaleInPolicy.Headroom): Boolean {
        if (machine.placements.isNotEmpty() || !machine.trusted) return false
        // A machine that has just booted has been empty for all of its boot: it was returned before anything could be
        // placed.
        if (now - machine.trustedAt < JUST_UP_MS) return false
        val patience = scaleInPolicy.scaleInDelayMs(machine)
        // While this controller heard nothing from the store, nothing could be placed there.
        return now - maxOf(
            machine.emptySince,
            observationGapUntil,
        ) > patience && now - shardState.activeAt > patience &&
            !headroom.needs(machine)
    }

    private fun decommissionIdle(machine: Machine, headroom: ScaleInPolicy.Headroom) {
        log.info(
            "machine {}: empty for {} s, decommissioned",
            machine.name,
            (shardState.clock.now() - machine.emptySince) / 1000,
        )
        headroom.without(machine)
        machine.decommissionReason = DecommissionReason.IDLE
        returnMachines(machine)
    }

    /** Returns a machine. Only the cloud's answer is evidence that what was on it is gone. */
    private fun returnMachines(machine: Machine) {
        if (machine.returning || !shardState.isCurrent()) return
        machine.returning = true
        toReturn.add(machine)
    }

    /**
     * One call for all machines that are to go, and one call at a time.
     *
     * A call for each made silent machines wait, with the replicas on them, behind idle ones for this controller's part
     * of the cloud's limit.
     */
    private fun sendReturns() {
        if (returnInFlight || toReturn.isEmpty() || !shardState.isCurrent()) return
        val leaving = toReturn.take(MAX_MACHINES_PER_RETURN)
        toReturn.removeAll(leaving.toSet())
        returnInFlight = true
        cloud.returnMachines(leaving.map { it.name }) { confirmed ->
            returnInFlight = false
            if (shardState.dropped) return@returnMachines
            leaving.forEach { if (confirmed) returned(it) else it.returning = false }
        }
    }

    /** The cloud has confirmed that the machine and all that was on it are gone. */
    private fun returned(machine: Machine) {
        machine.placements.values.toList().forEach {
            log.info("task {} attempt {}: terminated with machine {}", it.id, it.attempt, machine.name)
            shardState.finish(it, done = false)
        }
        shardState.jobs.values.forEach { it.failedOn.remove(machine) }
        shardState.machines.remove(machine.name)
        gone.add(machine.name)
        removeDue = minOf(removeDue, shardState.clock.now() + REMOVE_SOON_MS)
    }

    companion object {
        private const val JUST_PLACED_MS = 6_000L
        private const val MAX_MACHINES_PER_RETURN = 100
        private const val MAX_UNREACHABLE = 3
        private const val MISSED_HEARTBEATS_LIMIT = 3.0
        private const val MIN_MACHINES_TO_JUDGE = 4
        private const val NEARLY_ALL = 0.8
        private const val SETTLED_HEARTBEATS = 3
        private const val REQUEST_EVERY_MS = 2_000L
        private const val LOST_BOOT_FACTOR = 2.5
        private const val LOST_BOOT_S = 5.0
        private const val DRAIN_SLACK_S = 3.0
        private const val JUST_UP_MS = 2_000L
        private const val REMOVE_EVERY_MS = 2_000L
        private const val REMOVE_SOON_MS = 500L
    }
}

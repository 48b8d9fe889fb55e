package io.reedmast.autoscaling

import io.reedmast.model.MachineRecord
import io.reedmast.ports.Clock
import io.reedmast.settings.ShardId
import io.reedmast.wire.MachineType
import org.slf4j.LoggerFactory

/**
 * Decides which machines move between shards: idle ones to shards with demand, and occasionally some that are drained
 * for a starving job.
 */
internal class ShardRebalancer(
    private val clock: Clock,
    private val fleet: FleetView,
    private val machineTypes: () -> Map<String, MachineType>,
) {
    private val log = LoggerFactory.getLogger("autoscaler")

    /** Shards that machines are moving to, and until when (ms) no machines are rented for them because of that. */
    private val movingUntil = HashMap<ShardId, Long>()

    /** Shards that machines are being drained for, and until when (ms) these are waited for. */
    private val drainingUntil = HashMap<ShardId, Long>()

    /**
     * Machines with a transfer mark in flight, and until when (ms) they are not marked again, whether or not the mark
     * was stored.
     */
    private val markPendingUntil = HashMap<String, Long>()

    /** Whether machines are moving to [shard] whose capacity the shard's owner does not know yet. */
    fun isMovingTo(shard: ShardId): Boolean = shard in movingUntil

    /** Forgets the moves, drains and pending marks whose time is over; [now] is in milliseconds. */
    fun runOnce(now: Long) {
        movingUntil.values.removeIf { it < now }
        drainingUntil.values.removeIf { it < now }
        markPendingUntil.values.removeIf { it < now }
    }

    /**
     * Moves idle and booting machines from shards without demand to the shards of [recipients], in their order, until
     * the demand of each is met. [summaries] are those of all shards.
     */
    fun resize(recipients: List<ShardUsageSummary>, summaries: List<ShardUsageSummary>) {
        val donors = summaries.filter { it.demand.isEmpty() && it.idle.isNotEmpty() }
        for (recipient in recipients) {
            val unmetDemand = UnmetDemand(recipient.demand)
            for (donor in donors) moveIdleMachines(donor, recipient.shard, unmetDemand)
        }
    }

    private fun moveIdleMachines(donor: ShardUsageSummary, recipient: ShardId, unmetDemand: UnmetDemand) {
        val idle = donor.idle.toHashSet()
        val machineNames = fleet.machinesOf(donor.shard)
            .filter { it.name in idle && isAvailable(donor.shard, it.name) }
            .filter { record -> machineTypes()[record.typeName]?.let { unmetDemand.cover(record, it) } ?: false }
            .map { it.name }
            .toList()
        if (machineNames.isEmpty()) return
        log.info(
            "shard {}: transferring {} machines to shard {}",
            donor.shard.value,
            machineNames.size,
            recipient.value,
        )
        markForTransfer(donor.shard, machineNames, recipient)
        // The recipient's owner does not know their capacity before they have moved.
        movingUntil[recipient] = clock.now() + MOVE_TIMEOUT_MS
    }

    /**
     * Has machines of another shard drained for a starving job, if no machine rented for it has come up in time.
     *
     * Shards transfer only whole machines to each other. With some work on each of them, a job could otherwise wait
     * forever although another shard has the capacity for it.
     */
    fun drainForStarving(summaries: List<ShardUsageSummary>, now: Long) {
        for (recipient in summaries.filter { it.shard !in drainingUntil }) {
            val drain = recipient.starvingJobs
                .filter { it.waitedS >= MIN_STARVING_BEFORE_DRAIN_S }
                .firstNotNullOfOrNull { findDrain(it.demand, recipient.shard, summaries) }
            if (drain != null) startDrain(drain, recipient.shard, now)
        }
    }

    private fun startDrain(drain: Drain, recipient: ShardId, now: Long) {
        log.info(
            "shard {}: draining {} for shard {}, where a job is starving",
            drain.donor.value,
            drain.machineNames,
            recipient.value,
        )
        markForTransfer(drain.donor, drain.machineNames, recipient)
        drainingUntil[recipient] = now + DRAIN_TIMEOUT_MS
    }

    /** Machines of one shard that are to be drained. */
    private class Drain(val donor: ShardId, val machineNames: List<String>)

    /** The first other shard with machines to drain for the starving [demand], and these; null if there is none. */
    private fun findDrain(demand: Demand, recipient: ShardId, summaries: List<ShardUsageSummary>): Drain? = summaries
        .filter { it.shard != recipient }
        .map { Drain(it.shard, machinesToDrain(demand, it)) }
        .firstOrNull { it.machineNames.isNotEmpty() }

    /**
     * The machines of a shard to drain for the starving [demand], a single task or a whole gang: at most
     * [MAX_DRAINED_MACHINES], even if they hold only a part of the gang.
     */
    private fun machinesToDrain(demand: Demand, donor: ShardUsageSummary): List<String> {
        val machineNames = ArrayList<String>()
        var missingTasks = demand.taskCount
        for (machineName in (donor.idle + donor.drainable).distinct()) {
            if (missingTasks <= 0 || machineNames.size >= MAX_DRAINED_MACHINES) break
            val heldTasks = tasksHeldBy(machineName, donor.shard, demand)
            if (heldTasks > 0) machineNames.add(machineName)
            missingTasks -= heldTasks
        }
        return machineNames
    }

    /** How many tasks of the demand the machine holds once it is empty; 0 if it must not be drained for it. */
    private fun tasksHeldBy(machineName: String, shard: ShardId, demand: Demand): Int {
        val record = fleet.machinesOf(shard).firstOrNull { it.name == machineName } ?: return 0
        val machineType = machineTypes()[record.typeName] ?: return 0
        val mayBeDrained = isAvailable(shard, machineName) && record.mayRun(demand)
        return if (mayBeDrained) demand.tasksPerMachine(machineType) else 0
    }

    /**
     * Whether the machine may be marked for transfer. A mark is visible only once it is stored; until then the machine
     * must not be marked for another shard.
     */
    private fun isAvailable(shard: ShardId, machineName: String): Boolean =
        !fleet.isMarkedForTransfer(shard, machineName) && machineName !in markPendingUntil

    private fun markForTransfer(donor: ShardId, machineNames: List<String>, recipient: ShardId) {
        machineNames.forEach { markPendingUntil[it] = clock.now() + MOVE_TIMEOUT_MS }
        fleet.markForTransfer(donor, machineNames, recipient)
    }

    private companion object {
        const val MOVE_TIMEOUT_MS = 2_000L
        const val MAX_DRAINED_MACHINES = 4
        const val DRAIN_TIMEOUT_MS = 25_000L

        /** A machine that was rented when the job began to starve is usually up by then. */
        const val MIN_STARVING_BEFORE_DRAIN_S = 55.0
    }
}

/** The demand of one shard, minus the tasks that fit on machines that are to move there. */
private class UnmetDemand(demands: List<Demand>) {
    private val unmetTasks = demands.associateWithTo(LinkedHashMap()) { it.taskCount }

    /** Subtracts the machine's capacity from the first demand that it can run; returns whether there is one. */
    fun cover(record: MachineRecord, machineType: MachineType): Boolean {
        val covered = unmetTasks.entries.firstOrNull { (demand, taskCount) ->
            taskCount > 0 && record.mayRun(demand) && demand.tasksPerMachine(machineType) > 0
        } ?: return false
        covered.setValue(covered.value - covered.key.tasksPerMachine(machineType))
        return true
    }
}

private fun MachineRecord.mayRun(demand: Demand): Boolean = demand.mayRunOn(typeName, zone, spot)

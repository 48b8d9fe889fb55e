package io.reedmast.autoscaling

import io.reedmast.model.MachineRecord
import io.reedmast.ports.Clock
import io.reedmast.settings.ShardId
import io.reedmast.wire.MachineType
import org.slf4j.LoggerFactory

/**
 * Assigns machines that belong to no shard to one, whether they were rented or found by their heartbeats.
 *
 * Each machine, identified by its name, has one destination. A rental may replace the destination that was chosen after
 * a heartbeat as long as no write has been sent; from then on the destination stays until the outcome of the write is
 * certain. Otherwise two writes could assign one machine to two shards, since the preconditions of one write do not
 * cover the other.
 */
internal class MachineIntake(
    private val clock: Clock,
    private val fleet: FleetView,
    private val machineTypes: () -> Map<String, MachineType>,
    private val pendingReturns: PendingReturns,
) {
    private val log = LoggerFactory.getLogger("autoscaler")

    /** Versions of this controller's last changes to shards' machines; older usage summaries do not reflect them. */
    private val lastChangedVersion = HashMap<ShardId, Long>()

    /** Machines that are not yet assigned to their shard, by name. */
    private val incoming = LinkedHashMap<String, IncomingMachine>()

    /** Shards with an assignment in flight; there is at most one at a time for each shard. */
    private val assigning = HashSet<ShardId>()

    /** The leader's term in which [incoming] was collected. */
    private var term: Long? = null

    /** Names of the machines that are not yet assigned to their shard. */
    val unassignedNames: Set<String> get() = incoming.keys

    /** Whether there are machines that are still to be assigned to the shard. */
    fun hasMachinesFor(shard: ShardId): Boolean = incoming.values.any { it.shard == shard }

    /** Whether the summary takes into account all machines that this controller has assigned to its shard. */
    fun isCurrent(summary: ShardUsageSummary): Boolean =
        summary.machinesVersion >= (lastChangedVersion[summary.shard] ?: 0L)

    /** Whether the machine is being returned, or recently left all shards. */
    fun isLeaving(machineName: String): Boolean = machineName in pendingReturns || fleet.departedRecently(machineName)

    /**
     * Offers a machine for assignment to [shard]; [seenToken] is the highest token that its worker has seen. Type, zone
     * and price (spot or on-demand) are taken from a rental, and from a heartbeat only as long as there is no rental.
     */
    fun offer(record: MachineRecord, shard: ShardId, source: IntakeSource, seenToken: Long): IntakeDecision {
        val recordedShard = fleet.shardOfMachine(record.name)
        val known = incoming[record.name]
        return when {
            !fleet.leading -> IntakeDecision.NotLeading
            recordedShard != null -> IntakeDecision.MetElsewhere(recordedShard)
            isLeaving(record.name) -> IntakeDecision.Leaving
            known != null -> offerAgain(known, record, shard, source, seenToken)
            else -> {
                incoming[record.name] = IncomingMachine(record, shard, source, seenToken)
                IntakeDecision.Accepted
            }
        }
    }

    private fun offerAgain(
        known: IncomingMachine,
        record: MachineRecord,
        shard: ShardId,
        source: IntakeSource,
        seenToken: Long,
    ): IntakeDecision {
        known.seenToken = maxOf(known.seenToken, seenToken)
        val isReplaceable = known.stage == IntakeStage.WAITING && known.source == IntakeSource.HEARTBEAT
        if (isReplaceable && source == IntakeSource.RENTAL) {
            known.record = record
            known.shard = shard
            known.source = source
        }
        return if (known.shard == shard) IntakeDecision.Accepted else IntakeDecision.MetElsewhere(known.shard)
    }

    /** Assigns the waiting machines to their shards. Those whose assignment could not be stored keep waiting. */
    fun assignWaitingMachines() {
        val currentTerm = fleet.leaderTerm ?: return
        if (currentTerm != term) beginTerm(currentTerm)
        incoming.values.toList().forEach { update(it) }
        val waiting = incoming.values.filter { it.stage == IntakeStage.WAITING }
        for ((shard, machines) in waiting.groupBy { it.shard }) {
            if (assigning.add(shard)) store(shard, machines)
        }
    }

    /**
     * Discards what was collected before another controller led: it is outdated, and machines that are up are found by
     * their heartbeats. Writes of the earlier term are refused, and their entries stay until that is known.
     */
    private fun beginTerm(currentTerm: Long) {
        if (term != null) incoming.values.removeIf { it.stage != IntakeStage.STORING }
        term = currentTerm
    }

    /** Updates a machine for which no write is in flight to what the records show now. */
    private fun update(machine: IncomingMachine) {
        if (machine.stage == IntakeStage.STORING) return
        if (machine.stage == IntakeStage.UNCERTAIN && !fleet.hasObserved(machine.outcomeAt)) return
        when {
            fleet.shardOfMachine(machine.name) != null -> {
                machine.onEvent(IntakeEvent.RECORDED, clock.now())
                incoming.remove(machine.name)
            }

            isLeaving(machine.name) -> incoming.remove(machine.name)

            machine.stage == IntakeStage.UNCERTAIN -> machine.onEvent(IntakeEvent.OBSERVED, clock.now())
        }
    }

    private fun store(shard: ShardId, machines: List<IncomingMachine>) {
        machines.forEach { it.onEvent(IntakeEvent.WRITE_SENT, clock.now()) }
        fleet.addMachines(shard, machines.map { it.record }, machines.maxOf { it.seenToken }) { result ->
            assigning.remove(shard)
            machines.forEach { it.onEvent(eventOf(it, result), clock.now()) }
            incoming.values.removeIf { it.stage == IntakeStage.STORED }
            if (result is AddMachinesResult.Stored) onStored(shard, result.names)
        }
    }

    private fun eventOf(machine: IncomingMachine, result: AddMachinesResult): IntakeEvent = when (result) {
        is AddMachinesResult.Stored ->
            if (machine.name in result.names) IntakeEvent.WRITE_APPLIED else IntakeEvent.WRITE_NOT_SENT
        AddMachinesResult.NotSent -> IntakeEvent.WRITE_NOT_SENT
        AddMachinesResult.Unconfirmed -> IntakeEvent.WRITE_NOT_CONFIRMED
    }

    private fun onStored(shard: ShardId, machineNames: Set<String>) {
        val version = fleet.machinesVersion(shard)
        lastChangedVersion[shard] = version
        log.info("machines {}: added to shard {}, revision {}", machineNames, shard.value, version)
    }

    /** The shard with the fewest CPUs, those to come included; so machines found at the start are spread evenly. */
    fun shardWithFewestCpus(): ShardId {
        val cpus = DoubleArray(fleet.shardCount) { shard -> fleet.machinesOf(ShardId(shard)).sumOf { cpusOf(it) } }
        for (machine in incoming.values) cpus[machine.shard.value] += cpusOf(machine.record)
        return ShardId(cpus.indices.minByOrNull { cpus[it] } ?: 0)
    }

    private fun cpusOf(record: MachineRecord): Double = machineTypes()[record.typeName]?.cpus ?: CPUS_OF_UNKNOWN_TYPE

    private companion object {
        const val CPUS_OF_UNKNOWN_TYPE = 1.0
    }
}

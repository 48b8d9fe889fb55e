package io.reedmast.autoscaling

import io.reedmast.model.MachineRecord
import io.reedmast.ports.Clock
import io.reedmast.settings.ShardId
import io.reedmast.wire.MachineType
import org.slf4j.LoggerFactory

/**
 * Brings machines that belong to no shard into one, whether they were rented or found by their heartbeats.
 *
 * Each machine has one destination, by its name. A rental may replace the destination that a heartbeat gave it as long
 * as nothing has been sent; from then on the destination stays until the outcome of the write is certain. Two writes
 * for one machine would otherwise be on their way to two shards, and no precondition of the one covers the other.
 */
internal class MachineIntake(
    private val clock: Clock,
    private val fleet: FleetView,
    private val machineTypes: () -> Map<String, MachineType>,
    private val pendingReturns: PendingReturns,
) {
    private val log = LoggerFactory.getLogger("autoscaler")

    /** Versions of the last change made here to shards' machines: older usage summaries do not know of it yet. */
    private val lastChangedVersion = HashMap<ShardId, Long>()

    /** Machines that are not yet assigned to their shard, by name. */
    private val incoming = LinkedHashMap<String, IncomingMachine>()

    /** Shards with an assignment that is not stored yet: there is one at a time for each. */
    private val assigning = HashSet<ShardId>()

    /** The leader's term in which [incoming] was collected. */
    private var term: Long? = null

    /** Names of the machines that are not yet assigned to their shard. */
    val unassignedNames: Set<String> get() = incoming.keys

    /** Whether machines wait to be assigned to the shard. */
    fun hasMachinesFor(shard: ShardId): Boolean = incoming.values.any { it.shard == shard }

    /** Whether the summary was written in knowledge of all machines that were assigned to its shard from here. */
    fun isCurrent(summary: ShardUsageSummary): Boolean =
        summary.machinesVersion >= (lastChangedVersion[summary.shard] ?: 0L)

    /** Whether the machine is being returned, or has left all shards lately. */
    fun isLeaving(machineName: String): Boolean = machineName in pendingReturns || fleet.departedRecently(machineName)

    /**
     * A machine is offered to [shard]; [seenToken] is the highest token that its worker has seen. What a rental says of
     * type, zone and price counts, and a heartbeat only as long as there is no rental.
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

    /** Assigns the machines that wait for it to their shards. Those that could not be stored go on waiting. */
    fun assign() {
        val currentTerm = fleet.leaderTerm ?: return
        if (currentTerm != term) beginTerm(currentTerm)
        incoming.values.toList().forEach { update(it) }
        val waiting = incoming.values.filter { it.stage == IntakeStage.WAITING }
        for ((shard, machines) in waiting.groupBy { it.shard }) {
            if (assigning.add(shard)) store(shard, machines)
        }
    }

    /**
     * What was collected before another controller led says nothing any more; machines that are up are found by their
     * heartbeats. Writes of the earlier term are refused, and their entries stay until that is known.
     */
    private fun beginTerm(currentTerm: Long) {
        if (term != null) incoming.values.removeIf { it.stage != IntakeStage.STORING }
        term = currentTerm
    }

    /** Applies what the records now show of a machine that no write of ours is on its way for. */
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

    /** The shard with the fewest CPUs, so that machines found at the start are spread evenly. */
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

package io.reedmast.autoscaling

import io.reedmast.model.MachineRecord
import io.reedmast.settings.ShardId
import io.reedmast.wire.MachineType
import org.slf4j.LoggerFactory

/** Assigns machines that belong to no shard to one, whether they were rented or found by their heartbeats. */
internal class MachineIntake(private val fleet: FleetView, private val machineTypes: () -> Map<String, MachineType>) {
    private val log = LoggerFactory.getLogger("autoscaler")

    /** The shard that a machine is meant for, and the highest token that its worker has seen. */
    private data class Destination(val shard: ShardId, val seenToken: Long)

    /** Versions of the last change made here to shards' machines: older usage summaries do not know of it yet. */
    private val lastChangedVersion = HashMap<ShardId, Long>()

    /** Machines that are not yet assigned to their shard. */
    private val unassigned = LinkedHashMap<MachineRecord, Destination>()

    /** Shards with an assignment that is not stored yet: there is one at a time for each. */
    private val assigning = HashSet<ShardId>()

    /** Names of the machines that are not yet assigned to their shard. */
    val unassignedNames: Set<String> get() = unassigned.keys.mapTo(HashSet()) { it.name }

    /** Whether machines wait to be assigned to the shard. */
    fun awaits(shard: ShardId): Boolean = unassigned.values.any { it.shard == shard }

    /** Whether the summary was written in knowledge of all machines that were assigned to its shard from here. */
    fun isCurrent(summary: ShardUsageSummary): Boolean =
        summary.machinesVersion >= (lastChangedVersion[summary.shard] ?: 0L)

    /** A machine is to be assigned to [shard]; [seenToken] is the highest token that its worker has seen. */
    fun add(record: MachineRecord, shard: ShardId, seenToken: Long) {
        unassigned[record] = Destination(shard, seenToken)
    }

    /** Assigns the machines that wait for it to their shards. Those that could not be stored go on waiting. */
    fun assign() {
        if (unassigned.isEmpty()) return
        unassigned.keys.removeIf { fleet.shardOfMachine(it.name) != null }
        for ((shard, entries) in unassigned.entries.groupBy { it.value.shard }) {
            val records = entries.map { it.key }
            if (assigning.add(shard)) store(shard, records, entries.maxOf { it.value.seenToken })
        }
    }

    private fun store(shard: ShardId, records: List<MachineRecord>, seenToken: Long) {
        fleet.addMachines(shard, records, seenToken) { addedNames ->
            assigning.remove(shard)
            if (addedNames.isNotEmpty()) {
                val version = fleet.machinesVersion(shard)
                lastChangedVersion[shard] = version
                log.info("machines {}: added to shard {}, revision {}", addedNames, shard.value, version)
                unassigned.keys.removeIf { it.name in addedNames }
            }
        }
    }

    /** The shard with the fewest CPUs, so that machines found at the start are spread evenly. */
    fun shardWithFewestCpus(): ShardId {
        val cpus = DoubleArray(fleet.shardCount) { shard -> fleet.machinesOf(ShardId(shard)).sumOf { cpusOf(it) } }
        for ((record, destination) in unassigned) cpus[destination.shard.value] += cpusOf(record)
        return ShardId(cpus.indices.minByOrNull { cpus[it] } ?: 0)
    }

    private fun cpusOf(record: MachineRecord): Double = machineTypes()[record.typeName]?.cpus ?: CPUS_OF_UNKNOWN_TYPE

    private companion object {
        const val CPUS_OF_UNKNOWN_TYPE = 1.0
    }
}

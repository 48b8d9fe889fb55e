package io.reedmast.cluster

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.settings.ShardId
import org.slf4j.LoggerFactory

/**
 * Removes machines from a shard's records that are also recorded in other shards.
 *
 * The other shard's record must be unchanged: if two owners release a machine to each other at the same time, one of
 * the transactions fails, so that some record contains the machine at all times.
 */
internal class ContestedMachineRelease(private val machines: MachineTable, private val writer: MachineListWriter) {
    private val log = LoggerFactory.getLogger("cluster")

    /** A record of another shard that contains a contested machine. */
    private class OtherRecord(val shard: ShardId, val index: Int, val stored: StoredMachineListPart) {
        val unchanged: Precondition get() = Precondition(Keys.machineList(shard.value, index), stored.version)
    }

    /**
     * Releases, from each record of [shard], those of [machineNames] that one record of another shard contains too;
     * later calls release the others.
     */
    fun release(shard: ShardId, machineNames: Collection<String>, entitlement: Precondition) {
        for ((index, stored) in machines.partsOf(shard)) {
            val candidates = machineNames.filter { stored.part.contains(it) }
            val other = candidates.firstNotNullOfOrNull { otherRecordOf(it, shard) } ?: continue
            val released = candidates.filterTo(HashSet()) { other.stored.part.contains(it) }
            val change = MachineListChange(
                shard,
                index,
                stored,
                stored.part.without(released),
                entitlement,
                listOf(other.unchanged),
            )
            writer.write(change) { outcome ->
                if (outcome == MachineListOutcome.Stored) logReleased(shard, released, other)
            }
        }
    }

    private fun logReleased(shard: ShardId, released: Set<String>, other: OtherRecord) = log.info(
        "machines {}: recorded in several shards, removed from shard {}, still in shard {}",
        released,
        shard.value,
        other.shard.value,
    )

    private fun otherRecordOf(machineName: String, shard: ShardId): OtherRecord? =
        machines.recordedShards.of(machineName).filter { it != shard }.firstNotNullOfOrNull { other ->
            machines.partsOf(other).entries.firstOrNull { it.value.part.contains(machineName) }
                ?.let { OtherRecord(other, it.key, it.value) }
        }
}

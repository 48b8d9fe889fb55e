package io.reedmast.cluster

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.settings.ShardId
import org.slf4j.LoggerFactory

/**
 * Takes machines that other shards' records name too out of a shard's records.
 *
 * The record of the other shard must not have changed: of two owners that leave a machine to each other at once, one is
 * refused, and some record names it all the time.
 */
internal class ContestedMachineRelease(private val machines: MachineTable, private val writer: MachineListWriter) {
    private val log = LoggerFactory.getLogger("cluster")

    /** Another shard's record that names a machine. */
    private class OtherRecord(val shard: ShardId, val index: Int, val stored: StoredMachineListPart) {
        val unchanged: Precondition get() = Precondition(Keys.machineList(shard.value, index), stored.version)
    }

    /** Releases those of [machineNames] that share a record of [shard] and one of another; others follow later. */
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
        "machines {}: recorded in several shards, shard {} leaves them to shard {}",
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

package io.reedmast.cluster

import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.settings.ShardId

/**
 * Splits machine-list records that are larger than the reduced store limits allow, one step per call.
 *
 * A record that is too large can only be replaced by a small one, so its machines are first copied to new records, one
 * transaction each, with the old record's version as a precondition. The machines are then in two records of the same
 * shard, which is harmless wherever the split stops, and are not transferred until the old record has been reduced
 * to the machines that no other record of the shard contains.
 */
internal class OversizedMachineLists(
    private val limits: EffectiveLimits,
    private val machines: MachineTable,
    private val writer: MachineListWriter,
) {
    /** Takes the next step for [shard], if one is needed; [entitlement] is the precondition on its owner's term. */
    fun split(shard: ShardId, entitlement: Precondition) {
        val parts = machines.partsOf(shard)
        val valueBytes = limits.target.valueBytes
        val (index, oversized) = parts.entries.firstOrNull { !it.value.part.isStorable(valueBytes) } ?: return
        val remaining = oversized.part.without(namesInOtherParts(parts, index))
        if (remaining.fits(valueBytes)) {
            writer.write(MachineListChange(shard, index, oversized, remaining, entitlement))
            return
        }
        val unchanged = Precondition(Keys.machineList(shard.value, index), oversized.version)
        writer.write(
            MachineListChange(
                shard,
                index = parts.keys.max() + 1,
                MachineListPart.NOT_STORED,
                firstMachinesOf(remaining, valueBytes),
                entitlement,
                listOf(unchanged),
            ),
        )
    }

    private fun namesInOtherParts(parts: Map<Int, StoredMachineListPart>, index: Int): Set<String> =
        parts.filterKeys { it != index }.values.flatMapTo(HashSet()) { stored -> stored.part.records.map { it.name } }

    /** The first machines, as many as fit into one record, with their transfer marks. */
    private fun firstMachinesOf(remaining: MachineListPart, valueBytes: Int): MachineListPart {
        val part = MachineListPart.EMPTY.withMachinesThatFit(remaining.records, valueBytes)
        return part.copy(transfers = remaining.transfers.filterKeys { part.contains(it) })
    }
}

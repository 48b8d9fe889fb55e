package io.reedmast.cluster

import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.settings.ShardId

/**
 * Divides records of machines that are larger than the reduced store limits allow, a step at each call.
 *
 * A record that is too large can only be replaced by a small one, so its machines are first copied to new records, one
 * transaction each, with the old record's version as a condition. They stand in two records of the same shard then,
 * which is harmless wherever it ends, and do not move until the old record has been cut down to what no other one
 * names.
 */
internal class OversizedMachineLists(
    private val limits: EffectiveLimits,
    private val machines: MachineTable,
    private val writer: MachineListWriter,
) {
    /** Makes the next step for [shard], if one is needed; [entitlement] is the condition on its owner's term. */
    fun divide(shard: ShardId, entitlement: Precondition) {
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

    /** As many of the machines as fit into one record, with their marks of transfers. */
    private fun firstMachinesOf(remaining: MachineListPart, valueBytes: Int): MachineListPart {
        val part = MachineListPart.EMPTY.withMachinesThatFit(remaining.records, valueBytes)
        return part.copy(transfers = remaining.transfers.filterKeys { part.contains(it) })
    }
}

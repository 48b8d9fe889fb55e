package io.reedmast.cluster

import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.Keys
import io.reedmast.model.MachineRecord
import io.reedmast.ports.ProcessControl
import io.reedmast.settings.ShardId
import io.reedmast.wire.Fields
import java.util.TreeMap

/**
 * Which machines belong to which shard, as last seen in the store or in answers to this controller's changes.
 *
 * A shard's machine list is stored in several numbered records, each a [MachineListPart].
 */
internal class MachineTable(
    shardCount: Int,
    private val process: ProcessControl,
    private val limits: EffectiveLimits,
    private val departed: DepartedMachines,
    /** Called when the machines of a shard have changed. */
    private val onChange: (ShardId) -> Unit,
    /** Called when a machine has been removed from all shards. */
    private val onDeparture: (String) -> Unit,
) {
    private val partsByShard = Array(shardCount) { TreeMap<Int, StoredMachineListPart>() }

    /** The shards whose records contain each machine. */
    val recordedShards = RecordedShards()

    /**
     * The shard that the machine belongs to; null if there is none. For a contested machine it is the shard with the
     * lowest number, so that all controllers agree, in whatever order they have seen the records.
     */
    fun shardOf(machineName: String): ShardId? = recordedShards.of(machineName).firstOrNull()

    /** Whether the machine belongs to a shard. */
    fun contains(machineName: String): Boolean = recordedShards.of(machineName).isNotEmpty()

    /** The shard's machine-list records by index, in ascending order. */
    fun partsOf(shard: ShardId): Map<Int, StoredMachineListPart> = partsByShard[shard.value]

    /** The shard's machines; one that is in two of the shard's records occurs twice. */
    fun machinesOf(shard: ShardId): Sequence<MachineRecord> =
        partsByShard[shard.value].values.asSequence().flatMap { it.part.records }

    /** Whether the machine is to move from [shard] to another one as soon as it is empty. */
    fun isMarkedForTransfer(shard: ShardId, machineName: String): Boolean =
        partsByShard[shard.value].values.any { machineName in it.part.transfers }

    /** The version of the newest change to the shard's machines. */
    fun versionOf(shard: ShardId): Long = partsByShard[shard.value].values.maxOfOrNull { it.version } ?: 0L

    /** The machines of a shard, each with the index of the shard that it is to move to, or null. */
    fun transferTargetsOf(shard: ShardId): Map<MachineRecord, Int?> {
        val targets = LinkedHashMap<MachineRecord, Int?>()
        for (stored in partsByShard[shard.value].values) {
            stored.part.records.forEach { targets[it] = stored.part.transfers[it.name] }
        }
        return targets
    }

    /** Applies the value under [path], if that is the key of a machine-list record; a deletion changes nothing. */
    fun applyRecord(path: String, value: Fields?, version: Long) {
        if (!path.startsWith(Keys.MACHINES) || value == null) return
        val indices = path.removePrefix(Keys.MACHINES).split('/').map { it.toIntOrNull() }
        val shard = indices.getOrNull(0) ?: return
        val index = indices.getOrNull(1) ?: return
        if (shard in partsByShard.indices) applyPart(ShardId(shard), index, MachineListPart.parse(value), version)
    }

    /** Applies the shard's machine-list record with the index [index], unless this or a newer [version] is known. */
    fun applyPart(shard: ShardId, index: Int, part: MachineListPart, version: Long) {
        val previous = partsByShard[shard.value][index]
        if (previous != null && previous.version >= version) return
        partsByShard[shard.value][index] = StoredMachineListPart(part, version)
        val names = part.records.mapTo(HashSet()) { it.name }
        val removed = previous?.part?.records.orEmpty().map { it.name }.filter { it !in names }
        removed.forEach { onRemoved(shard, it) }
        for (record in part.records) {
            recordedShards.add(record.name, shard)
            departed.remove(record.name)
        }
        onChange(shard)
        // Whether a machine is contested, and who answers its worker, depends on all shards whose records contain it:
        // it may have changed for the others too.
        (names + removed).flatMapTo(HashSet()) { recordedShards.of(it) }.filter { it != shard }.forEach { onChange(it) }
        process.expectMachines(recordedShards.machineCount)
    }

    private fun onRemoved(shard: ShardId, machineName: String) {
        if (machinesOf(shard).any { it.name == machineName }) return
        recordedShards.remove(machineName, shard)
        if (contains(machineName)) return
        departed.add(machineName)
        onDeparture(machineName)
    }

    /** The shard's first machine-list record that has room for some of [added], or else a new one, with these added. */
    fun partWithRoomFor(added: List<MachineRecord>, shard: ShardId): ExtendedMachineListPart {
        val valueBytes = limits.target.valueBytes
        for ((index, stored) in partsByShard[shard.value]) {
            val extended = stored.part.withMachinesThatFit(added, valueBytes)
            if (extended.records.size > stored.part.records.size) {
                return ExtendedMachineListPart(index, stored, extended)
            }
        }
        val newIndex = (partsByShard[shard.value].keys.maxOrNull() ?: -1) + 1
        return ExtendedMachineListPart(
            newIndex,
            MachineListPart.NOT_STORED,
            MachineListPart.EMPTY.withMachinesThatFit(added, valueBytes),
        )
    }
}

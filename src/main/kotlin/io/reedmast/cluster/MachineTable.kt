package io.reedmast.cluster

import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.Keys
import io.reedmast.model.MachineRecord
import io.reedmast.ports.Clock
import io.reedmast.ports.ProcessControl
import io.reedmast.settings.Settings
import io.reedmast.settings.ShardId
import io.reedmast.wire.Fields
import java.util.TreeMap

/** Some of a shard's machines as last seen, with the version of their record. */
data class StoredMachineListPart(val part: MachineListPart, val version: Long)

/** Which machines belong to which shard, as last seen in the store or in answers to this controller's changes. */
class MachineTable(
    private val settings: Settings,
    private val clock: Clock,
    private val process: ProcessControl,
    private val limits: EffectiveLimits,
    /** Called when the machines of a shard have changed. */
    private val onChange: (ShardId) -> Unit,
    /** Called when a machine has left all shards. */
    private val onDeparture: (String) -> Unit,
) {
    private val parts = Array(settings.shardCount) { TreeMap<Int, StoredMachineListPart>() }
    private val shardByMachine = HashMap<String, ShardId>()

    /** Hosts that have left all shards lately: lists may still show them. */
    private val departed = HashMap<String, Long>()

    /** Late copies of a machine's reports come for longer than its lease; lists show it for twice their lag. */
    private val rememberDepartedMs =
        ((settings.cloudLimits.listLagS + settings.workers.leaseS) * 3000 + 60_000).toLong()

    fun shardOf(machineName: String): ShardId? = shardByMachine[machineName]

    fun contains(machineName: String): Boolean = machineName in shardByMachine

    fun departedLately(machineName: String): Boolean = departed.containsKey(machineName)

    fun partsOf(shard: ShardId): Map<Int, StoredMachineListPart> = parts[shard.value]

    fun machinesOf(shard: ShardId): Sequence<MachineRecord> = parts[shard.value].values.asSequence().flatMap {
        it.part.records
    }

    fun isMarkedForTransfer(shard: ShardId, machineName: String) = parts[shard.value].values.any {
        machineName in
            it.part.transfers
    }

    /** Stamp of the newest change to the shard's machines. */
    fun versionOf(shard: ShardId): Long = parts[shard.value].values.maxOfOrNull { it.version } ?: 0L

    /** The machines of a shard and where they are to move. */
    fun transferTargetsOf(shard: ShardId): Map<MachineRecord, Int?> {
        val all = LinkedHashMap<MachineRecord, Int?>()
        for (held in parts[shard.value].values) held.part.records.forEach { all[it] = held.part.transfers[it.name] }
        return all
    }

    /** Takes up the value under [path], if it is a record of machines. */
    fun applyRecord(path: String, value: Fields?, version: Long) {
        if (!path.startsWith(Keys.MACHINES) || value == null) return
        val indices = path.removePrefix(Keys.MACHINES).split('/').map { it.toIntOrNull() }
        val shard = indices.getOrNull(0) ?: return
        val part = indices.getOrNull(1) ?: return
        if (shard in parts.indices) applyPart(ShardId(shard), part, MachineListPart.parse(value), version)
    }

    fun applyPart(shard: ShardId, index: Int, part: MachineListPart, version: Long) {
        val held = parts[shard.value][index]
        if (held != null && held.version >= version) return
        parts[shard.value][index] = StoredMachineListPart(part, version)
        val names = part.records.mapTo(HashSet()) { it.name }
        held?.part?.records.orEmpty().filter { it.name !in names }.forEach { onRemoved(shard, it.name) }
        for (record in part.records) {
            shardByMachine[record.name] = shard
            departed.remove(record.name)
        }
        onChange(shard)
        process.expectMachines(shardByMachine.size)
    }

    private fun onRemoved(shard: ShardId, machineName: String) {
        if (shardByMachine[machineName] != shard || machinesOf(shard).any { it.name == machineName }) return
        shardByMachine.remove(machineName)
        departed[machineName] = clock.now()
        onDeparture(machineName)
    }

    fun runOnce(now: Long) {
        departed.values.removeIf { now - it > rememberDepartedMs }
    }

    /** A record with room for some of the machines that are to be added to a shard, with them in it. */
    data class Grown(val index: Int, val held: StoredMachineListPart?, val part: MachineListPart)

    /** The first record of the shard's machines, or a new one, that has room for some of [records], with them in it. */
    fun roomIn(shard: ShardId, records: List<MachineRecord>): Grown {
        val bytes = limits.target.valueBytes
        for ((index, held) in parts[shard.value]) {
            val grown = held.part.with(records, bytes)
            if (grown.records.size > held.part.records.size) return Grown(index, held, grown)
        }
        return Grown((parts[shard.value].keys.maxOrNull() ?: -1) + 1, null, MachineListPart.EMPTY.with(records, bytes))
    }
}

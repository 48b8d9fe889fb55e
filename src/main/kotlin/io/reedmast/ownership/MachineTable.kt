package io.reedmast.ownership

import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.Keys
import io.reedmast.ports.Clock
import io.reedmast.ports.Gateway
import io.reedmast.settings.Settings
import io.reedmast.settings.ShardId
import io.reedmast.wire.Fields
import io.reedmast.workers.HostRecord
import java.util.TreeMap

/** Some of a shard's machines as last seen, with the version of their record. */
data class StoredPart(val part: HostPart, val version: Long)

/** Which machines belong to which shard, as last seen in the store or in answers to this node's changes. */
class MachineTable(
    private val settings: Settings,
    private val clock: Clock,
    private val out: Gateway,
    private val limits: EffectiveLimits,
    /** Called when the machines of a shard have changed. */
    private val onChange: (ShardId) -> Unit,
    /** Called when a machine has left all shards. */
    private val onDeparture: (String) -> Unit,
) {
    private val parts = Array(settings.shardCount) { TreeMap<Int, StoredPart>() }
    private val shardByHost = HashMap<String, ShardId>()

    /** Hosts that have left all shards lately: lists may still show them. */
    private val departed = HashMap<String, Long>()

    /** Late copies of a machine's reports come for longer than its lease; lists show it for twice their lag. */
    private val rememberDepartedMs = ((settings.cloudLimits.listLagS + settings.workers.leaseS) * 3000 + 60_000).toLong()

    fun shardOf(host: String): ShardId? = shardByHost[host]

    fun contains(host: String): Boolean = host in shardByHost

    fun departedLately(host: String): Boolean = departed.containsKey(host)

    fun partsOf(shard: ShardId): Map<Int, StoredPart> = parts[shard.value]

    fun hostsOf(shard: ShardId): Sequence<HostRecord> = parts[shard.value].values.asSequence().flatMap { it.part.hosts }

    fun isLeaving(shard: ShardId, host: String) = parts[shard.value].values.any { host in it.part.leaving }

    /** Stamp of the newest change to the shard's machines. */
    fun versionOf(shard: ShardId): Long = parts[shard.value].values.maxOfOrNull { it.version } ?: 0L

    /** The machines of a shard and where they are to move. */
    fun destinationsOf(shard: ShardId): Map<HostRecord, Int?> {
        val all = LinkedHashMap<HostRecord, Int?>()
        for (held in parts[shard.value].values) held.part.hosts.forEach { all[it] = held.part.leaving[it.name] }
        return all
    }

    /** Takes up the value under [path], if it is a record of machines. */
    fun see(path: String, value: Fields?, version: Long) {
        if (!path.startsWith(Keys.HOSTS) || value == null) return
        val indices = path.removePrefix(Keys.HOSTS).split('/').map { it.toIntOrNull() }
        val shard = indices.getOrNull(0) ?: return
        val part = indices.getOrNull(1) ?: return
        if (shard in parts.indices) seePart(ShardId(shard), part, HostPart.parse(value), version)
    }

    fun seePart(shard: ShardId, index: Int, part: HostPart, version: Long) {
        val held = parts[shard.value][index]
        if (held != null && held.version >= version) return
        parts[shard.value][index] = StoredPart(part, version)
        val names = part.hosts.mapTo(HashSet()) { it.name }
        held?.part?.hosts.orEmpty().filter { it.name !in names }.forEach { noteRemoved(shard, it.name) }
        for (host in part.hosts) {
            shardByHost[host.name] = shard
            departed.remove(host.name)
        }
        onChange(shard)
        out.expectMachines(shardByHost.size)
    }

    private fun noteRemoved(shard: ShardId, host: String) {
        if (shardByHost[host] != shard || hostsOf(shard).any { it.name == host }) return
        shardByHost.remove(host)
        departed[host] = clock.now()
        onDeparture(host)
    }

    fun tick(now: Long) {
        departed.values.removeIf { now - it > rememberDepartedMs }
    }

    /** A record with room for some of the machines that are to be added to a shard, with them in it. */
    data class Grown(val index: Int, val held: StoredPart?, val part: HostPart)

    /** The first record of the shard's machines, or a new one, that has room for some of [hosts], with them in it. */
    fun roomIn(shard: ShardId, hosts: List<HostRecord>): Grown {
        val bytes = limits.target.valueBytes
        for ((index, held) in parts[shard.value]) {
            val grown = held.part.with(hosts, bytes)
            if (grown.hosts.size > held.part.hosts.size) return Grown(index, held, grown)
        }
        return Grown((parts[shard.value].keys.maxOrNull() ?: -1) + 1, null, HostPart.EMPTY.with(hosts, bytes))
    }
}

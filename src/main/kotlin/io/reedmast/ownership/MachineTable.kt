package io.reedmast.ownership

import io.reedmast.ports.Clock
import io.reedmast.ports.Gateway
import io.reedmast.settings.Settings
import io.reedmast.settings.SliceIndex
import io.reedmast.state.Keys
import io.reedmast.state.LimitsInForce
import io.reedmast.wire.Fields
import io.reedmast.workers.HostRecord
import java.util.TreeMap

/** Some of a slice's machines as last seen, with the version of their record. */
data class StoredPart(val part: HostPart, val version: Long)

/** Which machines belong to which slice, as last seen in the state service or in answers to this node's changes. */
class MachineTable(
    private val settings: Settings,
    private val clock: Clock,
    private val out: Gateway,
    private val limits: LimitsInForce,
    /** Called when the machines of a slice have changed. */
    private val onChange: (SliceIndex) -> Unit,
    /** Called when a machine has left all slices. */
    private val onDeparture: (String) -> Unit,
) {
    private val parts = Array(settings.slices) { TreeMap<Int, StoredPart>() }
    private val sliceByHost = HashMap<String, SliceIndex>()

    /** Hosts that have left all slices lately: lists may still show them. */
    private val departed = HashMap<String, Long>()

    /** Late copies of a machine's reports come for longer than its lease; lists show it for twice their lag. */
    private val rememberDepartedMs = ((settings.cloudLimits.listLagS + settings.workers.leaseS) * 3000 + 60_000).toLong()

    fun sliceOf(host: String): SliceIndex? = sliceByHost[host]

    fun contains(host: String): Boolean = host in sliceByHost

    fun departedLately(host: String): Boolean = departed.containsKey(host)

    fun partsOf(slice: SliceIndex): Map<Int, StoredPart> = parts[slice.value]

    fun hostsOf(slice: SliceIndex): Sequence<HostRecord> = parts[slice.value].values.asSequence().flatMap { it.part.hosts }

    fun isLeaving(slice: SliceIndex, host: String) = parts[slice.value].values.any { host in it.part.leaving }

    /** Stamp of the newest change to the slice's machines. */
    fun versionOf(slice: SliceIndex): Long = parts[slice.value].values.maxOfOrNull { it.version } ?: 0L

    /** The machines of a slice and where they are to move. */
    fun destinationsOf(slice: SliceIndex): Map<HostRecord, Int?> {
        val all = LinkedHashMap<HostRecord, Int?>()
        for (held in parts[slice.value].values) held.part.hosts.forEach { all[it] = held.part.leaving[it.name] }
        return all
    }

    /** Takes up the value under [path], if it is a record of machines. */
    fun see(path: String, value: Fields?, version: Long) {
        if (!path.startsWith(Keys.HOSTS) || value == null) return
        val indices = path.removePrefix(Keys.HOSTS).split('/').map { it.toIntOrNull() }
        val slice = indices.getOrNull(0) ?: return
        val part = indices.getOrNull(1) ?: return
        if (slice in parts.indices) seePart(SliceIndex(slice), part, HostPart.parse(value), version)
    }

    fun seePart(slice: SliceIndex, index: Int, part: HostPart, version: Long) {
        val held = parts[slice.value][index]
        if (held != null && held.version >= version) return
        parts[slice.value][index] = StoredPart(part, version)
        val names = part.hosts.mapTo(HashSet()) { it.name }
        held?.part?.hosts.orEmpty().filter { it.name !in names }.forEach { noteRemoved(slice, it.name) }
        for (host in part.hosts) {
            sliceByHost[host.name] = slice
            departed.remove(host.name)
        }
        onChange(slice)
        out.expectMachines(sliceByHost.size)
    }

    private fun noteRemoved(slice: SliceIndex, host: String) {
        if (sliceByHost[host] != slice || hostsOf(slice).any { it.name == host }) return
        sliceByHost.remove(host)
        departed[host] = clock.now()
        onDeparture(host)
    }

    fun tick(now: Long) {
        departed.values.removeIf { now - it > rememberDepartedMs }
    }

    /** A record with room for some of the machines that are to be added to a slice, with them in it. */
    data class Grown(val index: Int, val held: StoredPart?, val part: HostPart)

    /** The first record of the slice's machines, or a new one, that has room for some of [hosts], with them in it. */
    fun roomIn(slice: SliceIndex, hosts: List<HostRecord>): Grown {
        val bytes = limits.target.valueBytes
        for ((index, held) in parts[slice.value]) {
            val grown = held.part.with(hosts, bytes)
            if (grown.hosts.size > held.part.hosts.size) return Grown(index, held, grown)
        }
        return Grown((parts[slice.value].keys.maxOrNull() ?: -1) + 1, null, HostPart.EMPTY.with(hosts, bytes))
    }
}

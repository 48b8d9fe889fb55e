package io.reedmast.sim

import io.reedmast.state.Change
import io.reedmast.state.Event
import io.reedmast.state.Item
import io.reedmast.state.Outcome
import io.reedmast.state.Write
import io.reedmast.state.sameValue
import io.reedmast.wire.Fields
import io.reedmast.wire.Tree
import java.util.TreeMap

/** The state service of PROTOCOL: conditional transactions, stamps, leases. */
class SimState(private val world: World) {
    private class Entry(val value: Fields, val version: Long, val lease: Long?)

    private val entries = TreeMap<String, Entry>()
    private val log = ArrayList<Event>()
    private val leases = HashMap<Long, Long>()
    private var leaseCount = 0L
    var revision = 1L
        private set
    var up = true
        private set

    fun outage(ms: Long) {
        up = false
        world.after(ms) {
            up = true
            leases.replaceAll { _, _ -> world.now() + LEASE_AFTER_OUTAGE_MS }
        }
    }

    fun get(path: String): Item? {
        expire()
        return entries[path]?.let { Item(path, it.value, it.version) }
    }

    fun list(prefix: String): List<Item> {
        expire()
        return entries.tailMap(prefix).entries.takeWhile { it.key.startsWith(prefix) }.map { Item(it.key, it.value.value, it.value.version) }
    }

    fun since(after: Long): List<Event> {
        expire()
        return log.filter { it.version > after }
    }

    /** Puts and deletes applied, each of which counts against the service's limit. */
    var changes = 0
        private set

    /** The form of [Tree] values as another version, or nobody, would write them. */
    fun spoil(path: String) {
        revision++
        entries[path] = Entry(mapOf("form" to 0L), revision, null)
        log.add(Event(path, mapOf("form" to 0L), revision))
    }

    /** What the service would not take is a mistake of ours, whatever becomes of it. */
    private fun checkLimits(change: Change) {
        val limits = world.settings.stateLimits
        if (change.writes.size > limits.opsPerCommit) world.breach("${change.writes.size} changes in a transaction")
        if (change.guards.size > limits.opsPerCommit * 4) world.breach("${change.guards.size} conditions in a transaction")
        change.writes.filterIsInstance<Write.Put>().forEach {
            val size = Tree.jsonSize(it.value)
            if (size > limits.valueBytes) world.breach("${it.path} holds $size bytes")
        }
    }

    fun commit(change: Change): Outcome {
        expire()
        checkLimits(change)
        val failed = change.guards.filter { (entries[it.path]?.version ?: 0L) != it.version }.mapTo(HashSet()) { it.path }
        if (failed.isNotEmpty()) return Outcome.Conflict(failed)
        if (change.writes.any { it is Write.Put && it.lease != null && it.lease !in leases }) return Outcome.Refused("no such lease")
        revision++
        changes += change.writes.size
        for (write in change.writes) {
            when (write) {
                is Write.Put -> put(write)
                is Write.Delete -> remove(write.path)
            }
        }
        return Outcome.Applied(revision)
    }

    /** When a change that got no answer had been applied, 0 if it was not: what a committer finds out by reading. */
    fun appliedAt(change: Change): Long {
        val write = change.writes.firstOrNull { it is Write.Put } ?: change.writes.first()
        val now = entries[write.path]
        return when {
            write is Write.Put -> if (now != null && sameValue(write.value, now.value)) now.version else 0L
            else -> if (now == null) 1L else 0L
        }
    }

    private fun put(write: Write.Put) {
        // Through the wire and back, as the real service would give it.
        val value = Tree.readCbor(Tree.writeCbor(write.value))
        entries[write.path] = Entry(value, revision, write.lease)
        log.add(Event(write.path, value, revision))
    }

    private fun remove(path: String) {
        if (entries.remove(path) != null) log.add(Event(path, null, revision))
    }

    fun lease(lifeMs: Long): Long {
        leases[++leaseCount] = world.now() + lifeMs
        return leaseCount
    }

    fun extend(lease: Long, lifeMs: Long): Boolean {
        expire()
        return leases.computeIfPresent(lease) { _, _ -> world.now() + lifeMs } != null
    }

    private fun expire() {
        if (!up) return
        val over = leases.filterValues { it < world.now() }.keys.toList()
        for (lease in over) {
            leases.remove(lease)
            val paths = entries.filterValues { it.lease == lease }.keys.toList()
            if (paths.isNotEmpty()) revision++
            paths.forEach { remove(it) }
        }
    }

    private companion object {
        const val LEASE_AFTER_OUTAGE_MS = 4_000L
    }
}

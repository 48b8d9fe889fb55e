package io.reedmast.ownership

import io.reedmast.ports.Gateway
import io.reedmast.settings.Settings
import io.reedmast.settings.SliceIndex
import io.reedmast.state.Change
import io.reedmast.state.Guard
import io.reedmast.state.Keys
import io.reedmast.state.LimitsInForce
import io.reedmast.state.Outcome
import io.reedmast.state.Write
import io.reedmast.state.WritePriority
import io.reedmast.wire.Tree
import io.reedmast.workers.HostRecord
import org.slf4j.LoggerFactory

/**
 * The changes to the records of slices' machines: a leader gives machines and marks those that are to move, an owner hands
 * them over and removes those that are gone.
 *
 * Each change has the record's own version as a condition, and the key that entitles this node to it.
 */
class MachineAssignment(
    private val settings: Settings,
    private val out: Gateway,
    private val limits: LimitsInForce,
    private val slices: SliceTable,
    private val machines: MachineTable,
    private val rollout: ClusterRollout,
    private val leaderVersion: () -> Long,
    /** Reads a key again after a change that was not applied, and goes on once that is done. */
    private val reread: (String, () -> Unit) -> Unit,
) {
    private val log = LoggerFactory.getLogger("cluster")

    /** Records that a change of ours is on its way to. */
    private val writing = HashSet<String>()

    /** The slice's owner removes machines that are gone. */
    fun removeHosts(slice: SliceIndex, hosts: Set<String>) {
        val term = slices.records[slice.value]?.takeIf { it.record.owner == settings.label }?.version ?: return
        for ((index, held) in machines.partsOf(slice)) {
            if (held.part.hosts.none { it.name in hosts }) continue
            rewrite(slice, index, held.part.without(hosts), Guard(Keys.slice(slice.value), term), writePriority = WritePriority.LAZY) {}
        }
    }

    /** Moves empty machines, as many as share a record and a destination; the others follow with the next call. */
    fun handOver(slice: SliceIndex, hosts: Collection<String>) {
        val from = slices.records[slice.value] ?: return
        val (index, held) = machines.partsOf(slice).entries.firstOrNull { (_, held) -> hosts.any { it in held.part.leaving } } ?: return
        val to = hosts.firstNotNullOfOrNull { held.part.leaving[it] }?.let { SliceIndex(it) } ?: return
        val target = slices.records.getOrNull(to.value) ?: return
        if (to == slice) return
        val divided = namedTwice(slice)
        val moving = held.part.hosts.filter { it.name in hosts && it.name !in divided && held.part.leaving[it.name] == to.value }
        val destination = machines.roomIn(to, moving)
        val moved = moving.filter { destination.part.holds(it.name) }.mapTo(HashSet()) { it.name }
        if (moved.isEmpty() || !isStorable(held.part.without(moved))) return
        val source = Source(slice, index, held, from)
        move(source, held.part.without(moved), to, target, destination, moved)
    }

    /** The record that machines leave. */
    private class Source(val slice: SliceIndex, val index: Int, val held: StoredPart, val owner: StoredRecord)

    private fun move(source: Source, left: HostPart, to: SliceIndex, target: StoredRecord, destination: MachineTable.Grown, moved: Set<String>) {
        val fromPath = Keys.hosts(source.slice.value, source.index)
        val toPath = Keys.hosts(to.value, destination.index)
        if (fromPath in writing || toPath in writing) return
        val guards = arrayListOf(
            Guard(Keys.slice(source.slice.value), source.owner.version),
            Guard(fromPath, source.held.version),
            Guard(toPath, destination.held?.version ?: 0L),
            Guard(Keys.slice(to.value), target.version),
        )
        val writes = arrayListOf<Write>(Write.Put(fromPath, left.toFields()), Write.Put(toPath, destination.part.toFields()))
        // The other slice's owner must have a token above all that these machines have seen, which is at most ours.
        val renewed = if (target.record.token > source.owner.record.token) null else target.record.copy(token = Token.after(slices.token))
        if (renewed != null) {
            val counter = TokenFence.moveTo(renewed.token, slices.tokenVersion, rollout.gates)
            guards.addAll(counter.guards)
            writes.add(Write.Put(Keys.slice(to.value), renewed.toFields()))
            writes.add(counter.write)
        }
        writing.add(fromPath)
        writing.add(toPath)
        out.commit(
            Change(guards, writes) { outcome ->
                writing.remove(fromPath)
                writing.remove(toPath)
                if (outcome is Outcome.Applied) {
                    log.info("{}: moved from slice {} to slice {}", moved, source.slice.value, to.value)
                    if (renewed != null) {
                        slices.seeToken(renewed.token, outcome.revision)
                        slices.seeSlice(to, renewed, outcome.revision)
                    }
                    machines.seePart(to, destination.index, destination.part, outcome.revision)
                    machines.seePart(source.slice, source.index, left, outcome.revision)
                } else {
                    listOf(Keys.slice(source.slice.value), Keys.slice(to.value), Keys.TOKEN, fromPath, toPath).forEach { reread(it) {} }
                }
            },
        )
    }

    /** The leader gives machines to a slice; [seen] is the highest token that any of them has seen. [done] tells which were. */
    fun addHosts(slice: SliceIndex, hosts: List<HostRecord>, seen: Long, done: (Set<String>) -> Unit) {
        val owner = slices.records[slice.value]
        val grown = machines.roomIn(slice, hosts)
        val names = hosts.mapTo(HashSet()) { it.name }.apply { removeIf { !grown.part.holds(it) } }
        if (owner == null || names.isEmpty()) {
            done(emptySet())
            return
        }
        val lead = Guard(Keys.LEADER, leaderVersion())
        val sofar = grown.held ?: StoredPart(HostPart.EMPTY, 0L)
        if (seen <= owner.record.token) {
            rewrite(slice, grown.index, grown.part, lead, sofar) { done(if (it) names else emptySet()) }
            return
        }
        val renewed = owner.record.copy(token = Token.after(maxOf(slices.token, seen)))
        val counter = TokenFence.moveTo(renewed.token, slices.tokenVersion, rollout.gates)
        val guards = counter.guards + Guard(Keys.slice(slice.value), owner.version)
        val writes = listOf(Write.Put(Keys.slice(slice.value), renewed.toFields()), counter.write)
        rewrite(slice, grown.index, grown.part, lead, sofar, guards, writes) { ok ->
            if (!ok) reread(Keys.TOKEN) {}
            done(if (ok) names else emptySet())
        }
    }

    /** The leader marks machines that are to leave for another slice as soon as they are empty. */
    fun markLeaving(slice: SliceIndex, hosts: Collection<String>, to: SliceIndex) {
        for ((index, held) in machines.partsOf(slice)) {
            val mine = held.part.hosts.filter { it.name in hosts }
            if (mine.isEmpty()) continue
            var marks = mine.size
            fun marked() = held.part.copy(leaving = held.part.leaving + mine.take(marks).associate { it.name to to.value })
            while (marks > 0 && Tree.jsonSize(marked().toFields()) > limits.allowed.valueBytes * MARKED) marks /= 2
            if (marks > 0) rewrite(slice, index, marked(), Guard(Keys.LEADER, leaderVersion())) {}
        }
    }

    /** Whether the state service takes the record; one that an earlier version stored may be too large until it has been divided. */
    private fun isStorable(part: HostPart) = Tree.jsonSize(part.toFields()) <= limits.allowed.valueBytes * MARKED

    /** Machines that stand in two records of a slice, one of which is being divided. */
    private fun namedTwice(slice: SliceIndex): Set<String> {
        val names = HashSet<String>()
        return machines.partsOf(slice).values.flatMap { it.part.hosts }.map { it.name }.filterTo(HashSet()) { !names.add(it) }
    }

    /**
     * The owner divides records of machines that are larger than the lowered limits allow, a step at each call.
     *
     * A record that is too large can only be replaced by a small one, so its machines are first copied to new records, one
     * transaction each, with the old record's version as a condition. They stand in two records of the same slice then, which is
     * harmless wherever it ends, and do not move until the old record has been cut down to what no other one names.
     */
    fun divideOversized(slice: SliceIndex) {
        val term = slices.records[slice.value]?.takeIf { it.record.owner == settings.label }?.version ?: return
        val entitled = Guard(Keys.slice(slice.value), term)
        val parts = machines.partsOf(slice)
        val bytes = limits.target.valueBytes
        for ((index, held) in parts) {
            if (Tree.jsonSize(held.part.toFields()) <= bytes * MARKED) continue
            val elsewhere = parts.filterKeys { it != index }.values.flatMapTo(HashSet()) { it.part.hosts.map { host -> host.name } }
            val rest = held.part.without(elsewhere)
            if (rest.fits(bytes)) {
                rewrite(slice, index, rest, entitled) {}
            } else {
                val copied = HostPart.EMPTY.with(rest.hosts, bytes).let { part -> part.copy(leaving = rest.leaving.filterKeys { part.holds(it) }) }
                val unchanged = Guard(Keys.hosts(slice.value, index), held.version)
                rewrite(slice, parts.keys.max() + 1, copied, entitled, StoredPart(HostPart.EMPTY, 0L), listOf(unchanged)) {}
            }
            return
        }
    }

    private fun rewrite(
        slice: SliceIndex,
        index: Int,
        part: HostPart,
        entitled: Guard,
        held: StoredPart? = machines.partsOf(slice)[index],
        moreGuards: List<Guard> = emptyList(),
        moreWrites: List<Write.Put> = emptyList(),
        writePriority: WritePriority = WritePriority.PROMPT,
        done: (Boolean) -> Unit,
    ) {
        val path = Keys.hosts(slice.value, index)
        if (held == null || !isStorable(part) || !writing.add(path)) {
            done(false)
            return
        }
        val guards = listOf(Guard(path, held.version), entitled) + moreGuards
        out.commit(
            Change(guards, listOf(Write.Put(path, part.toFields())) + moreWrites, writePriority) { outcome ->
                writing.remove(path)
                if (outcome is Outcome.Applied) {
                    moreWrites.forEach { slices.see(it.path, it.value, outcome.revision) }
                    machines.seePart(slice, index, part, outcome.revision)
                    done(true)
                } else {
                    // The change may have been applied and replaced since. Whoever asked for it must see that before asking again: a
                    // machine would be given to a second slice.
                    reread(Keys.slice(slice.value)) {}
                    reread(path) { done(false) }
                }
            },
        )
    }

    private companion object {
        /** How full a value may be made with marks. */
        const val MARKED = 0.95
    }
}

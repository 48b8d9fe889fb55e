package io.reedmast.cluster

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.Write
import io.reedmast.kvstore.WritePriority
import io.reedmast.model.FencingToken
import io.reedmast.model.MachineRecord
import io.reedmast.ports.KeyValueStore
import io.reedmast.settings.Settings
import io.reedmast.settings.ShardId
import io.reedmast.wire.Tree
import org.slf4j.LoggerFactory

/**
 * The changes to the records of shards' machines: a leader gives machines and marks those that are to move, an owner
 * hands them over and removes those that are gone.
 *
 * Each change has the record's own version as a condition, and the key that entitles this controller to it.
 */
class MachineAssignment(
    private val settings: Settings,
    private val store: KeyValueStore,
    private val limits: EffectiveLimits,
    private val shards: ShardTable,
    private val machines: MachineTable,
    private val rollout: ClusterRollout,
    private val leaderVersion: () -> Long,
    /** Reads a key again after a change that was not applied, and goes on once that is done. */
    private val reread: (String, () -> Unit) -> Unit,
) {
    private val log = LoggerFactory.getLogger("cluster")

    /** Records that a change of ours is on its way to. */
    private val writing = HashSet<String>()

    /** The shard's owner removes machines that are gone. */
    fun removeMachines(shard: ShardId, machineNames: Set<String>) {
        val term = shards.termOf(settings.label, shard) ?: return
        for ((index, held) in machines.partsOf(shard)) {
            if (held.part.records.none { it.name in machineNames }) continue
            rewrite(
                shard,
                index,
                held.part.without(machineNames),
                Precondition(Keys.shard(shard.value), term),
                writePriority = WritePriority.DEFERRED,
            ) {
            }
        }
    }

    /** Moves empty machines, as many as share a record and a destination; the others follow with the next call. */
    fun transferMachines(shard: ShardId, machineNames: Collection<String>) {
        val from = shards.records[shard.value] ?: return
        val (index, held) = machines.partsOf(shard).entries.firstOrNull { (_, held) ->
            machineNames.any {
                it in
                    held.part.transfers
            }
        }
            ?: return
        val to = machineNames.firstNotNullOfOrNull { held.part.transfers[it] }?.let { ShardId(it) } ?: return
        val target = shards.records.getOrNull(to.value) ?: return
        if (to == shard) return
        val divided = namedTwice(shard)
        val moving = held.part.records.filter {
            it.name in machineNames && it.name !in divided &&
                held.part.transfers[it.name] == to.value
        }
        val destination = machines.roomIn(to, moving)
        val moved = moving.filter { destination.part.holds(it.name) }.mapTo(HashSet()) { it.name }
        if (moved.isEmpty() || !isStorable(held.part.without(moved))) return
        val source = Source(shard, index, held, from)
        move(source, held.part.without(moved), to, target, destination, moved)
    }

    /** The record that machines leave. */
    private class Source(
        val shard: ShardId,
        val index: Int,
        val held: StoredMachineListPart,
        val owner: StoredShardRecord,
    )

    private fun move(
        source: Source,
        left: MachineListPart,
        to: ShardId,
        target: StoredShardRecord,
        destination: MachineTable.Grown,
        moved: Set<String>,
    ) {
        val fromPath = Keys.machineNames(source.shard.value, source.index)
        val toPath = Keys.machineNames(to.value, destination.index)
        if (fromPath in writing || toPath in writing) return
        val preconditions = arrayListOf(
            Precondition(Keys.shard(source.shard.value), source.owner.version),
            Precondition(fromPath, source.held.version),
            Precondition(toPath, destination.held?.version ?: 0L),
            Precondition(Keys.shard(to.value), target.version),
        )
        val writes =
            arrayListOf<Write>(Write.Put(fromPath, left.toFields()), Write.Put(toPath, destination.part.toFields()))
        // The other shard's owner must have a token above all that these machines have seen, which is at most ours.
        val renewed = if (target.record.token >
            source.owner.record.token
        ) {
            null
        } else {
            target.record.copy(token = FencingToken.after(shards.token))
        }
        if (renewed != null) {
            val counter = TokenCounter.moveTo(renewed.token, shards.tokenVersion, rollout.gates)
            preconditions.addAll(counter.preconditions)
            writes.add(Write.Put(Keys.shard(to.value), renewed.toFields()))
            writes.add(counter.write)
        }
        writing.add(fromPath)
        writing.add(toPath)
        store.commit(
            CasTransaction(preconditions, writes) { outcome ->
                writing.remove(fromPath)
                writing.remove(toPath)
                if (outcome is CommitOutcome.Applied) {
                    log.info("machines {}: transferred from shard {} to shard {}", moved, source.shard.value, to.value)
                    if (renewed != null) {
                        shards.applyToken(renewed.token, outcome.revision)
                        shards.applyShard(to, renewed, outcome.revision)
                    }
                    machines.applyPart(to, destination.index, destination.part, outcome.revision)
                    machines.applyPart(source.shard, source.index, left, outcome.revision)
                } else {
                    listOf(Keys.shard(source.shard.value), Keys.shard(to.value), Keys.TOKEN, fromPath, toPath).forEach {
                        reread(it) {}
                    }
                }
            },
        )
    }

    /**
     * The leader gives machines to a shard; [seen] is the highest token that any of them has seen. [done] tells which
     * were.
     */
    fun addMachines(shard: ShardId, records: List<MachineRecord>, seen: Long, done: (Set<String>) -> Unit) {
        val owner = shards.records[shard.value]
        val grown = machines.roomIn(shard, records)
        val names = records.mapTo(HashSet()) { it.name }.apply { removeIf { !grown.part.holds(it) } }
        if (owner == null || names.isEmpty()) {
            done(emptySet())
            return
        }
        val lead = Precondition(Keys.LEADER, leaderVersion())
        val sofar = grown.held ?: StoredMachineListPart(MachineListPart.EMPTY, 0L)
        if (seen <= owner.record.token) {
            rewrite(shard, grown.index, grown.part, lead, sofar) { done(if (it) names else emptySet()) }
            return
        }
        val renewed = owner.record.copy(token = FencingToken.after(maxOf(shards.token, seen)))
        val counter = TokenCounter.moveTo(renewed.token, shards.tokenVersion, rollout.gates)
        val preconditions = counter.preconditions + Precondition(Keys.shard(shard.value), owner.version)
        val writes = listOf(Write.Put(Keys.shard(shard.value), renewed.toFields()), counter.write)
        rewrite(shard, grown.index, grown.part, lead, sofar, preconditions, writes) { ok ->
            if (!ok) reread(Keys.TOKEN) {}
            done(if (ok) names else emptySet())
        }
    }

    /** The leader marks machines that are to leave for another shard as soon as they are empty. */
    fun markForTransfer(shard: ShardId, machineNames: Collection<String>, to: ShardId) {
        for ((index, held) in machines.partsOf(shard)) {
            val mine = held.part.records.filter { it.name in machineNames }
            if (mine.isEmpty()) continue
            var marks = mine.size
            fun marked() = held.part.copy(
                transfers =
                held.part.transfers + mine.take(marks).associate { it.name to to.value },
            )
            while (marks > 0 && Tree.jsonSize(marked().toFields()) > limits.allowed.valueBytes * MARKED) marks /= 2
            if (marks > 0) rewrite(shard, index, marked(), Precondition(Keys.LEADER, leaderVersion())) {}
        }
    }

    /**
     * Whether the store takes the record; one that an earlier version stored may be too large until it has been
     * divided.
     */
    private fun isStorable(part: MachineListPart) = Tree.jsonSize(part.toFields()) <= limits.allowed.valueBytes * MARKED

    /** Machines that stand in two records of a shard, one of which is being divided. */
    private fun namedTwice(shard: ShardId): Set<String> {
        val names = HashSet<String>()
        return machines.partsOf(shard).values.flatMap {
            it.part.records
        }.map { it.name }.filterTo(HashSet()) { !names.add(it) }
    }

    /**
     * The owner divides records of machines that are larger than the reduced limits allow, a step at each call.
     *
     * A record that is too large can only be replaced by a small one, so its machines are first copied to new records,
     * one transaction each, with the old record's version as a condition. They stand in two records of the same shard
     * then, which is harmless wherever it ends, and do not move until the old record has been cut down to what no other
     * one names.
     */
    fun divideOversized(shard: ShardId) {
        val term = shards.termOf(settings.label, shard) ?: return
        val entitled = Precondition(Keys.shard(shard.value), term)
        val parts = machines.partsOf(shard)
        val bytes = limits.target.valueBytes
        for ((index, held) in parts) {
            if (Tree.jsonSize(held.part.toFields()) <= bytes * MARKED) continue
            val elsewhere = parts.filterKeys {
                it != index
            }.values.flatMapTo(HashSet()) { it.part.records.map { record -> record.name } }
            val rest = held.part.without(elsewhere)
            if (rest.fits(bytes)) {
                rewrite(shard, index, rest, entitled) {}
            } else {
                val copied = MachineListPart.EMPTY.with(rest.records, bytes).let { part ->
                    part.copy(transfers = rest.transfers.filterKeys { part.holds(it) })
                }
                val unchanged = Precondition(Keys.machineNames(shard.value, index), held.version)
                rewrite(
                    shard,
                    parts.keys.max() + 1,
                    copied,
                    entitled,
                    StoredMachineListPart(MachineListPart.EMPTY, 0L),
                    listOf(unchanged),
                ) {
                }
            }
            return
        }
    }

    private fun rewrite(
        shard: ShardId,
        index: Int,
        part: MachineListPart,
        entitled: Precondition,
        held: StoredMachineListPart? = machines.partsOf(shard)[index],
        morePreconditions: List<Precondition> = emptyList(),
        moreWrites: List<Write.Put> = emptyList(),
        writePriority: WritePriority = WritePriority.URGENT,
        done: (Boolean) -> Unit,
    ) {
        val path = Keys.machineNames(shard.value, index)
        if (held == null || !isStorable(part) || !writing.add(path)) {
            done(false)
            return
        }
        val preconditions = listOf(Precondition(path, held.version), entitled) + morePreconditions
        store.commit(
            CasTransaction(
                preconditions,
                listOf(Write.Put(path, part.toFields())) + moreWrites,
                writePriority,
            ) { outcome ->
                writing.remove(path)
                if (outcome is CommitOutcome.Applied) {
                    moreWrites.forEach { shards.applyRecord(it.path, it.value, outcome.revision) }
                    machines.applyPart(shard, index, part, outcome.revision)
                    done(true)
                } else {
                    // The change may have been applied and replaced since. Whoever asked for it must see that before
                    // asking again: a machine would be given to a second shard.
                    reread(Keys.shard(shard.value)) {}
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

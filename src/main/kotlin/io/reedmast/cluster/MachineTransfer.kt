package io.reedmast.cluster

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.Write
import io.reedmast.model.MachineRecord
import io.reedmast.ports.KeyValueStore
import io.reedmast.settings.ShardId
import org.slf4j.LoggerFactory

/** Moves empty machines from a shard that this controller owns to the shards that they are marked for. */
internal class MachineTransfer(
    private val store: KeyValueStore,
    private val shards: ShardTable,
    private val machines: MachineTable,
    private val rollout: ClusterRollout,
    private val writer: MachineListWriter,
    private val reread: (String, () -> Unit) -> Unit,
) {
    private val log = LoggerFactory.getLogger("cluster")

    /** The machine-list record that the machines leave, and its shard's record. */
    private class Source(
        val shard: ShardId,
        val owner: StoredShardRecord,
        val index: Int,
        val stored: StoredMachineListPart,
    ) {
        val path: String get() = Keys.machineList(shard.value, index)
    }

    /** The machine-list record that the machines join, and its shard's record. */
    private class Destination(val shard: ShardId, val owner: StoredShardRecord, val extended: ExtendedMachineListPart) {
        val path: String get() = Keys.machineList(shard.value, extended.index)
    }

    /** A move of machines from one machine-list record to another, in one transaction. */
    private class Transfer(val source: Source, val destination: Destination, val moved: Set<String>) {
        /** The new content of the record that the machines leave. */
        val remaining = source.stored.part.without(moved)

        val preconditions: List<Precondition> get() = listOf(
            Precondition(Keys.shard(source.shard.value), source.owner.version),
            Precondition(source.path, source.stored.version),
            Precondition(destination.path, destination.extended.stored.version),
            Precondition(Keys.shard(destination.shard.value), destination.owner.version),
        )

        val writes: List<Write> get() = listOf(
            Write.Put(source.path, remaining.toFields()),
            Write.Put(destination.path, destination.extended.part.toFields()),
        )

        /** All keys that the transaction may have changed. */
        val keys: List<String> get() = listOf(
            Keys.shard(source.shard.value),
            Keys.shard(destination.shard.value),
            Keys.TOKEN_COUNTER,
            source.path,
            destination.path,
        )
    }

    /**
     * Moves those of [machineNames] that are in the same record and have the same destination, as many as fit there;
     * later calls move the others.
     */
    fun transfer(from: ShardId, machineNames: Collection<String>) {
        val source = sourceOf(from, machineNames) ?: return
        val targetShard = machineNames.firstNotNullOfOrNull { source.stored.part.transfers[it] }?.let { ShardId(it) }
        if (targetShard == null || targetShard == from) return
        val targetOwner = shards.records.getOrNull(targetShard.value) ?: return
        val moving = movable(source, targetShard, machineNames)
        val destination = Destination(targetShard, targetOwner, machines.partWithRoomFor(moving, targetShard))
        val moved = moving.map { it.name }.filterTo(HashSet()) { destination.extended.part.contains(it) }
        val transfer = Transfer(source, destination, moved)
        if (moved.isNotEmpty() && writer.isStorable(transfer.remaining)) commit(transfer)
    }

    private fun sourceOf(shard: ShardId, machineNames: Collection<String>): Source? {
        val owner = shards.records[shard.value] ?: return null
        val (index, stored) = machines.partsOf(shard).entries
            .firstOrNull { (_, stored) -> machineNames.any { it in stored.part.transfers } } ?: return null
        return Source(shard, owner, index, stored)
    }

    private fun movable(source: Source, target: ShardId, machineNames: Collection<String>): List<MachineRecord> {
        val duplicates = duplicateNames(source.shard)
        return source.stored.part.records.filter {
            val isMarked = source.stored.part.transfers[it.name] == target.value
            isMarked && it.name in machineNames && it.name !in duplicates &&
                it.name !in machines.recordedShards.contested
        }
    }

    /** The names of machines that are in two records of the shard, one of which is being split. */
    private fun duplicateNames(shard: ShardId): Set<String> {
        val names = HashSet<String>()
        return machines.machinesOf(shard).map { it.name }.filterTo(HashSet()) { !names.add(it) }
    }

    private fun commit(transfer: Transfer) {
        val paths = setOf(transfer.source.path, transfer.destination.path)
        if (!writer.tryReserve(paths)) return
        val renewal = renewalFor(transfer)
        val preconditions = transfer.preconditions + renewal?.counterPreconditions.orEmpty()
        val writes = transfer.writes + renewal?.writes.orEmpty()
        store.commit(
            CasTransaction(preconditions, writes) { outcome ->
                writer.unreserve(paths)
                if (outcome is CommitOutcome.Applied) {
                    onStored(transfer, renewal, outcome.revision)
                } else {
                    transfer.keys.forEach { reread(it) {} }
                }
            },
        )
    }

    /**
     * The token renewal for the destination's owner, or null if it needs none: its token must be above every token that
     * these machines have seen, which is at most that of the source's owner.
     */
    private fun renewalFor(transfer: Transfer): TokenRenewal? {
        val destination = transfer.destination
        if (destination.owner.record.token > transfer.source.owner.record.token) return null
        return TokenRenewal(destination.shard, destination.owner, shards.token, shards.tokenVersion, rollout.gates)
    }

    private fun onStored(transfer: Transfer, renewal: TokenRenewal?, revision: Long) {
        val source = transfer.source
        val destination = transfer.destination
        val from = source.shard.value
        val to = destination.shard.value
        log.info("machines {}: transferred from shard {} to shard {}, revision {}", transfer.moved, from, to, revision)
        renewal?.applyTo(shards, revision)
        // Applied in this order, the machines belong to a shard at all times.
        machines.applyPart(destination.shard, destination.extended.index, destination.extended.part, revision)
        machines.applyPart(source.shard, source.index, transfer.remaining, revision)
    }
}

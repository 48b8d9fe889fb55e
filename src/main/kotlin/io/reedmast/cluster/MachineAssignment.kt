package io.reedmast.cluster

import io.reedmast.autoscaling.AddMachinesResult
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.WritePriority
import io.reedmast.model.MachineRecord
import io.reedmast.ports.KeyValueStore
import io.reedmast.settings.Settings
import io.reedmast.settings.ShardId

/**
 * The changes to the shards' machine-list records: the leader adds machines and marks those that are to move; a shard's
 * owner transfers those and removes machines that are gone.
 *
 * Each change has two preconditions: the record's own version, and that of the key that entitles this controller to it.
 */
internal class MachineAssignment(
    private val settings: Settings,
    store: KeyValueStore,
    private val limits: EffectiveLimits,
    private val shards: ShardTable,
    private val machines: MachineTable,
    private val rollout: ClusterRollout,
    /** The term in which this controller leads; null if it does not lead. */
    private val leaderTerm: () -> Long?,
    /** Rereads a key after a change that was not applied, then calls the callback. */
    private val reread: (String, () -> Unit) -> Unit,
) {
    private val writer = MachineListWriter(store, limits, shards, machines, reread)
    private val transfer = MachineTransfer(store, shards, machines, rollout, writer, reread)
    private val release = ContestedMachineRelease(machines, writer)
    private val oversized = OversizedMachineLists(limits, machines, writer)

    /** As the shard's owner, removes machines that are gone. */
    fun removeMachines(shard: ShardId, machineNames: Set<String>) {
        val entitlement = ownership(shard) ?: return
        for ((index, stored) in machines.partsOf(shard)) {
            if (stored.part.records.none { it.name in machineNames }) continue
            val remaining = stored.part.without(machineNames)
            val priority = WritePriority.DEFERRED
            writer.write(MachineListChange(shard, index, stored, remaining, entitlement, priority = priority))
        }
    }

    /** As the shard's owner, removes machines that are also recorded in other shards, which keep them. */
    fun releaseContested(shard: ShardId, machineNames: Collection<String>) {
        ownership(shard)?.let { release.release(shard, machineNames, it) }
    }

    /** As the shard's owner, moves empty machines to the shards that they are marked for, some per call. */
    fun transferMachines(from: ShardId, machineNames: Collection<String>) = transfer.transfer(from, machineNames)

    /**
     * As the leader, adds machines to a shard; [highestTokenSeen] is the highest token that any of them has seen.
     * [onDone] is called once the outcome of the change is known.
     */
    fun addMachines(
        shard: ShardId,
        records: List<MachineRecord>,
        highestTokenSeen: Long,
        onDone: (AddMachinesResult) -> Unit,
    ) {
        val leadership = leadership()
        val owner = shards.records[shard.value]
        val extended = machines.partWithRoomFor(records, shard)
        val added = records.mapTo(HashSet()) { it.name }.apply { retainAll { extended.part.contains(it) } }
        if (leadership == null || owner == null || added.isEmpty()) {
            onDone(AddMachinesResult.NotSent)
            return
        }
        val renewal = renewalFor(shard, owner, highestTokenSeen)
        val change = MachineListChange(
            shard,
            extended.index,
            extended.stored,
            extended.part,
            leadership,
            tokenRenewal = renewal,
        )
        writer.write(change) { outcome ->
            if (outcome != MachineListOutcome.Stored && renewal != null) reread(Keys.TOKEN_COUNTER) {}
            onDone(resultOf(outcome, added))
        }
    }

    private fun resultOf(outcome: MachineListOutcome, added: Set<String>): AddMachinesResult = when (outcome) {
        MachineListOutcome.Stored -> AddMachinesResult.Stored(added)
        MachineListOutcome.NotSent -> AddMachinesResult.NotSent
        MachineListOutcome.NotApplied -> AddMachinesResult.Unconfirmed
    }

    private fun renewalFor(shard: ShardId, owner: StoredShardRecord, highestTokenSeen: Long): TokenRenewal? {
        if (highestTokenSeen <= owner.record.token) return null
        val aboveToken = maxOf(shards.token, highestTokenSeen)
        return TokenRenewal(shard, owner, aboveToken, shards.tokenVersion, rollout.gates)
    }

    /**
     * As the leader, marks machines that are to move to the shard [to] as soon as they are empty. In each record their
     * number is halved until the record has room for their marks.
     */
    fun markForTransfer(shard: ShardId, machineNames: Collection<String>, to: ShardId) {
        val leadership = leadership() ?: return
        for ((index, stored) in machines.partsOf(shard)) {
            var marked = stored.part.records.map { it.name }
                .filter { it in machineNames && it !in machines.recordedShards.contested }
            while (marked.isNotEmpty() && !writer.isStorable(stored.part.withTransferMarks(marked, to))) {
                marked = marked.take(marked.size / 2)
            }
            if (marked.isEmpty()) continue
            writer.write(MachineListChange(shard, index, stored, stored.part.withTransferMarks(marked, to), leadership))
        }
    }

    /** As the shard's owner, splits machine-list records that are larger than the reduced store limits allow. */
    fun splitOversized(shard: ShardId) {
        ownership(shard)?.let { oversized.split(shard, it) }
    }

    /** The precondition that this controller still owns [shard]; null if it does not. */
    private fun ownership(shard: ShardId): Precondition? =
        shards.termOf(settings.label, shard)?.let { Precondition(Keys.shard(shard.value), it) }

    /**
     * The precondition that this controller still leads, in the term that it knows as its own; null if it does not
     * lead. With the version of another leader's key, late writes of a deposed leader would be accepted as the new
     * leader's.
     */
    private fun leadership(): Precondition? = leaderTerm()?.let { Precondition(Keys.LEADER, it) }
}

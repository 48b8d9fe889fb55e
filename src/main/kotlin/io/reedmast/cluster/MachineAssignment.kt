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
 * The changes to the records of shards' machines: a leader gives machines and marks those that are to move, an owner
 * hands them over and removes those that are gone.
 *
 * Each change has the record's own version as a condition, and the key that entitles this controller to it.
 */
internal class MachineAssignment(
    private val settings: Settings,
    store: KeyValueStore,
    private val limits: EffectiveLimits,
    private val shards: ShardTable,
    private val machines: MachineTable,
    private val rollout: ClusterRollout,
    /** The term in which this controller leads; null if it does not. */
    private val leaderTerm: () -> Long?,
    /** Reads a key again after a change that was not applied, and goes on once that is done. */
    private val reread: (String, () -> Unit) -> Unit,
) {
    private val writer = MachineListWriter(store, limits, shards, machines, reread)
    private val transfer = MachineTransfer(store, shards, machines, rollout, writer, reread)
    private val release = ContestedMachineRelease(machines, writer)
    private val oversized = OversizedMachineLists(limits, machines, writer)

    /** The shard's owner removes machines that are gone. */
    fun removeMachines(shard: ShardId, machineNames: Set<String>) {
        val entitlement = ownership(shard) ?: return
        for ((index, stored) in machines.partsOf(shard)) {
            if (stored.part.records.none { it.name in machineNames }) continue
            val remaining = stored.part.without(machineNames)
            val priority = WritePriority.DEFERRED
            writer.write(MachineListChange(shard, index, stored, remaining, entitlement, priority = priority))
        }
    }

    /** The shard's owner leaves machines that other shards' records name too to these. */
    fun releaseContested(shard: ShardId, machineNames: Collection<String>) {
        ownership(shard)?.let { release.release(shard, machineNames, it) }
    }

    /** The shard's owner moves empty machines to the shards that they are marked for, some at each call. */
    fun transferMachines(shard: ShardId, machineNames: Collection<String>) = transfer.transfer(shard, machineNames)

    /**
     * The leader gives machines to a shard; [highestTokenSeen] is the highest that any of them has seen. [onDone] is
     * called once it is known what became of the change.
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
     * The leader marks machines that are to leave for another shard as soon as they are empty: as many in each record
     * as it has room for, up to halving their number until they fit.
     */
    fun markForTransfer(shard: ShardId, machineNames: Collection<String>, to: ShardId) {
        val leadership = leadership() ?: return
        for ((index, stored) in machines.partsOf(shard)) {
            var marked = stored.part.records.map { it.name }
                .filter { it in machineNames && it !in machines.recordedShards.contested }
            while (marked.isNotEmpty() && !writer.isStorable(stored.part.marked(marked, to))) {
                marked = marked.take(marked.size / 2)
            }
            if (marked.isEmpty()) continue
            writer.write(MachineListChange(shard, index, stored, stored.part.marked(marked, to), leadership))
        }
    }

    /** The shard's owner divides records of machines that are larger than the reduced limits allow. */
    fun divideOversized(shard: ShardId) {
        ownership(shard)?.let { oversized.divide(shard, it) }
    }

    /** The condition that this controller still owns [shard]; null if it does not. */
    private fun ownership(shard: ShardId): Precondition? =
        shards.termOf(settings.label, shard)?.let { Precondition(Keys.shard(shard.value), it) }

    /**
     * The condition that this controller still leads, in the term that it knows as its own; null if it does not lead.
     * With the version of another leader's key, what a deposed leader still does would pass for that leader's.
     */
    private fun leadership(): Precondition? = leaderTerm()?.let { Precondition(Keys.LEADER, it) }
}

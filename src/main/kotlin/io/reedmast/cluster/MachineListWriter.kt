package io.reedmast.cluster

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.Keys
import io.reedmast.ports.KeyValueStore

/** Stores changes to records of shards' machines, one at a time for each record. */
internal class MachineListWriter(
    private val store: KeyValueStore,
    private val limits: EffectiveLimits,
    private val shards: ShardTable,
    private val machines: MachineTable,
    /** Reads a key again after a change that was not applied, and goes on once that is done. */
    private val reread: (String, () -> Unit) -> Unit,
) {
    /** The records that a change of this controller's is on its way to. */
    private val pendingPaths = HashSet<String>()

    /** Whether the store takes [part] as the value of a record. */
    fun isStorable(part: MachineListPart): Boolean = part.isStorable(limits.allowed.valueBytes)

    /** Stores [change]; [onOutcome] is called once it is certain what became of it. */
    fun write(change: MachineListChange, onOutcome: (MachineListOutcome) -> Unit = {}) {
        if (!isStorable(change.part) || !tryReserve(setOf(change.path))) {
            onOutcome(MachineListOutcome.NotSent)
            return
        }
        store.commit(
            CasTransaction(change.preconditions, change.writes, change.priority) { outcome ->
                unreserve(setOf(change.path))
                if (outcome is CommitOutcome.Applied) {
                    change.tokenRenewal?.applyTo(shards, outcome.revision)
                    machines.applyPart(change.shard, change.index, change.part, outcome.revision)
                    onOutcome(MachineListOutcome.Stored)
                } else {
                    // The change may have been applied and replaced since. Whoever asked for it must see that before
                    // asking again: a machine would be given to a second shard.
                    reread(Keys.shard(change.shard.value)) {}
                    reread(change.path) { onOutcome(MachineListOutcome.NotApplied) }
                }
            },
        )
    }

    /** Reserves the records at [paths] for one change until [unreserve]; false if a change to one of them is under way. */
    fun tryReserve(paths: Set<String>): Boolean {
        if (paths.any { it in pendingPaths }) return false
        pendingPaths.addAll(paths)
        return true
    }

    /** The outcome of the change to the records at [paths] is known. */
    fun unreserve(paths: Set<String>) {
        pendingPaths.removeAll(paths)
    }
}

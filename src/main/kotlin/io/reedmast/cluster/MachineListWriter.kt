package io.reedmast.cluster

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.Keys
import io.reedmast.ports.KeyValueStore

/** Stores changes to the shards' machine-list records, one at a time for each record. */
internal class MachineListWriter(
    private val store: KeyValueStore,
    private val limits: EffectiveLimits,
    private val shards: ShardTable,
    private val machines: MachineTable,
    /** Rereads a key after a change that was not applied, then calls the callback. */
    private val reread: (String, () -> Unit) -> Unit,
) {
    /** The keys of the records to which this controller has sent a change whose outcome is not known yet. */
    private val pendingPaths = HashSet<String>()

    /** Whether the store accepts [part] as the value of a record. */
    fun isStorable(part: MachineListPart): Boolean = part.isStorable(limits.allowed.valueBytes)

    /** Stores [change]; [onOutcome] is called once the outcome is certain. */
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
                    // The change may have been applied and replaced since. The caller must see that before it asks
                    // again: otherwise a machine could be added to a second shard.
                    reread(Keys.shard(change.shard.value)) {}
                    reread(change.path) { onOutcome(MachineListOutcome.NotApplied) }
                }
            },
        )
    }

    /**
     * Reserves the records at [paths] for one change until [unreserve]; false if a change to one of them is in
     * progress.
     */
    fun tryReserve(paths: Set<String>): Boolean {
        if (paths.any { it in pendingPaths }) return false
        pendingPaths.addAll(paths)
        return true
    }

    /** Ends the reservation of the records at [paths], since the outcome of the change is known. */
    fun unreserve(paths: Set<String>) {
        pendingPaths.removeAll(paths)
    }
}

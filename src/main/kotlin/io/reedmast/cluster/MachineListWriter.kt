package io.reedmast.cluster

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.Write
import io.reedmast.kvstore.WritePriority
import io.reedmast.ports.KeyValueStore
import io.reedmast.settings.ShardId

/** A change to the [index]th record of the machines of [shard]. */
internal class MachineListChange(
    val shard: ShardId,
    val index: Int,
    /** What the record holds now; its version is a precondition. */
    val replaced: StoredMachineListPart,
    /** What it is to hold. */
    val part: MachineListPart,
    /** The condition on the key that entitles this controller to the change: the shard's record or the leader's key. */
    val entitlement: Precondition,
    val morePreconditions: List<Precondition> = emptyList(),
    /** A higher token for the shard's owner, stored with the change. */
    val tokenRenewal: TokenRenewal? = null,
    val priority: WritePriority = WritePriority.URGENT,
) {
    val path: String get() = Keys.machineNames(shard.value, index)

    val preconditions: List<Precondition> get() {
        val renewal = tokenRenewal?.let { it.counterPreconditions + it.recordPrecondition }.orEmpty()
        return listOf(Precondition(path, replaced.version), entitlement) + renewal + morePreconditions
    }

    val writes: List<Write> get() = listOf(Write.Put(path, part.toFields())) + tokenRenewal?.writes.orEmpty()
}

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
        if (!isStorable(change.part) || !tryBegin(setOf(change.path))) {
            onOutcome(MachineListOutcome.NotSent)
            return
        }
        store.commit(
            CasTransaction(change.preconditions, change.writes, change.priority) { outcome ->
                end(setOf(change.path))
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

    /** Reserves the records at [paths] for one change until [end]; false if a change to one of them is under way. */
    fun tryBegin(paths: Set<String>): Boolean {
        if (paths.any { it in pendingPaths }) return false
        pendingPaths.addAll(paths)
        return true
    }

    /** The outcome of the change to the records at [paths] is known. */
    fun end(paths: Set<String>) {
        pendingPaths.removeAll(paths)
    }
}

package io.reedmast.cluster

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.Write
import io.reedmast.kvstore.WritePriority
import io.reedmast.settings.ShardId

/** A change to the machine-list record of [shard] with the index [index]. */
internal class MachineListChange(
    val shard: ShardId,
    val index: Int,
    /** The current content of the record; its version is a precondition. */
    val replaced: StoredMachineListPart,
    /** The new content of the record. */
    val part: MachineListPart,
    /**
     * The precondition on the key that entitles this controller to the change: the shard's record or the leader key.
     */
    val entitlement: Precondition,
    val additionalPreconditions: List<Precondition> = emptyList(),
    /** A higher token for the shard's owner, stored with the change. */
    val tokenRenewal: TokenRenewal? = null,
    val priority: WritePriority = WritePriority.URGENT,
) {
    /** The key of the record. */
    val path: String get() = Keys.machineList(shard.value, index)

    val preconditions: List<Precondition> get() {
        val renewal = tokenRenewal?.let { it.counterPreconditions + it.recordPrecondition }.orEmpty()
        return listOf(Precondition(path, replaced.version), entitlement) + renewal + additionalPreconditions
    }

    val writes: List<Write> get() = listOf(Write.Put(path, part.toFields())) + tokenRenewal?.writes.orEmpty()
}

package io.reedmast.cluster

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.Write
import io.reedmast.kvstore.WritePriority
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

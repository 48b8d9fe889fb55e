package io.reedmast.cluster

/**
 * A machine-list record of a shard, extended by as many machines as it has room for.
 *
 * [index] is the record's index in the shard, [stored] its current content and [part] its new one.
 */
internal data class ExtendedMachineListPart(
    val index: Int,
    val stored: StoredMachineListPart,
    val part: MachineListPart,
)

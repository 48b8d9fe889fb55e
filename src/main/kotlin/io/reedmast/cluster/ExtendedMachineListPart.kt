package io.reedmast.cluster

/**
 * A record of a shard's machines with as many added as it has room for.
 *
 * The record is the shard's [index]th one; [stored] is what it holds now, and [part] what it is to hold.
 */
internal data class ExtendedMachineListPart(
    val index: Int,
    val stored: StoredMachineListPart,
    val part: MachineListPart,
)

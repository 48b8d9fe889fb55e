package io.reedmast.cluster

/** A part of a shard's machine list as last seen, with the version of its record; 0 if there is no such record yet. */
data class StoredMachineListPart(val part: MachineListPart, val version: Long)

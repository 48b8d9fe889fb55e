package io.reedmast.cluster

/** Some of a shard's machines as last seen, with the version of their record; 0 if there is no such record yet. */
data class StoredMachineListPart(val part: MachineListPart, val version: Long)

package io.reedmast.model

/** A machine as the records of its shard name it. */
data class MachineRecord(val name: String, val typeName: String, val zone: String, val spot: Boolean)

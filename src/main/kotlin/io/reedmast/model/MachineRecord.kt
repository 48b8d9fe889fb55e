package io.reedmast.model

import io.reedmast.wire.MachineType
import io.reedmast.wire.TaskId
import io.reedmast.wire.WorkerStatus

/** A machine as the records of its shard name it. */
data class MachineRecord(val name: String, val typeName: String, val zone: String, val spot: Boolean)

package io.reedmast.model

import io.reedmast.wire.MachineType
import io.reedmast.wire.TaskId
import io.reedmast.wire.WorkerStatus

/** Why a machine is to go. */
enum class DecommissionReason {
    IDLE,
    MISSED_HEARTBEATS,

    /** Its reports arrive, and nothing reaches it. */
    UNREACHABLE,
    BOOT_TIMEOUT,
    UNHEALTHY,
    TRANSFER,
}

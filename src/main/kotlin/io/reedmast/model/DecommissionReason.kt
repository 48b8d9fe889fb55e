package io.reedmast.model

/** Why a machine is to leave the shard. */
enum class DecommissionReason {
    /** The machine is not needed. */
    IDLE,

    /** No heartbeat has arrived for too long. */
    MISSED_HEARTBEATS,

    /** Its heartbeats arrive, but answers and commands do not reach it. */
    UNREACHABLE,

    /** It was rented and has not come up in time. */
    BOOT_TIMEOUT,

    /** Tasks of several jobs failed on it. */
    UNHEALTHY,

    /** It is to be transferred to another shard. */
    TRANSFER,
}

package io.reedmast.model

/** Why a machine is to go. */
enum class DecommissionReason {
    /** Nothing needs it. */
    IDLE,

    /** Its heartbeats have not come for too long. */
    MISSED_HEARTBEATS,

    /** Its heartbeats arrive, and nothing reaches it. */
    UNREACHABLE,

    /** It was rented, and has not come up in time. */
    BOOT_TIMEOUT,

    /** Tasks of several jobs failed on it. */
    UNHEALTHY,

    /** It is to move to another shard. */
    TRANSFER,
}

package io.reedmast.model

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

package io.reedmast.heartbeats

/** How a worker's status came to this controller. */
internal enum class StatusSource {
    /** By the worker's own heartbeat: the answer renews the worker's lease and can carry commands. */
    HEARTBEAT,

    /** As the reply to a direct call: it says what is on the machine, and nothing can be answered. */
    DIRECT_CALL,
}

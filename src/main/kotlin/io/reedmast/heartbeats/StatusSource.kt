package io.reedmast.heartbeats

/** How a worker's status reached this controller. */
internal enum class StatusSource {
    /** In the worker's own heartbeat: the answer renews the worker's lease and can carry commands. */
    HEARTBEAT,

    /** As the reply to a direct call: it shows what is on the machine, but no answer can be sent. */
    DIRECT_CALL,
}

package io.reedmast.kvstore

/** Decides which transactions are sent first when more writes wait than the store accepts. */
enum class WritePriority {
    /** A user is waiting for it: an acceptance or a cancellation. Takes turns with [URGENT]. */
    USER,

    /** Work is waiting for it: a placement, the end of a job or a change of machines. */
    URGENT,

    /** Only avoids repeated work, or cleans up. */
    DEFERRED,
}

package io.reedmast.kvstore

/** What goes first when the store takes fewer writes than there are. */
enum class WritePriority {
    /** A user waits for it: an acceptance, a cancellation. It takes turns with urgent transactions. */
    USER,

    /** Work waits for it: a placement, the end of a job, machines. */
    URGENT,

    /** It only saves repeated work, or clears away. */
    DEFERRED,
}

package io.reedmast.model

/** What a stored page waits for, the most pressing last. */
enum class PendingWrite {
    /** Results only: stored late, they save repeated work. */
    RESULTS,

    /** Placements of arrays, which are launched once they are stored. */
    ARRAY_PLACEMENTS,

    /** Placements of services and of other work that is to start soon. */
    URGENT_PLACEMENTS,
}

/** The stored page that holds a [Chunk], as far as the rest of a shard's owner needs to know of it. */
interface ChunkPage {
    /** Whether the page is on its way to the store. */
    val isWriteInFlight: Boolean

    /** Something in the page differs from what is stored since [now]. */
    fun markDirty(now: Long)

    /** Something in the page waits to be stored since [now], with this urgency. */
    fun requestWrite(now: Long, pendingWrite: PendingWrite)

    /** The chunk needs no storing any more. */
    fun remove(chunk: Chunk)
}

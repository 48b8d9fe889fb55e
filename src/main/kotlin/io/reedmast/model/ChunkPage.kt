package io.reedmast.model

/** What in a page waits to be stored, in order of increasing urgency. */
enum class PendingWrite {
    /** Only results, which may be stored late: storing them merely saves repeated work. */
    RESULTS,

    /** Placements of arrays, whose tasks are launched once the placements are stored. */
    ARRAY_PLACEMENTS,

    /** Placements of services and of other latency-sensitive jobs. */
    URGENT_PLACEMENTS,
}

/** The stored page that holds a [Chunk], as seen by code outside the persistence layer. */
interface ChunkPage {
    /** Whether a write of the page to the store is in flight. */
    val isWriteInFlight: Boolean

    /** Records that the content of the page differs from its stored value since [now]. */
    fun markDirty(now: Long)

    /** Requests that the page is written, with the urgency of [pendingWrite]; it has waited since [now]. */
    fun requestWrite(now: Long, pendingWrite: PendingWrite)

    /** Removes a chunk that does not have to be stored any more. */
    fun remove(chunk: Chunk)
}

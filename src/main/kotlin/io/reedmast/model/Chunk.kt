package io.reedmast.model

import java.util.BitSet
import java.util.TreeMap

/**
 * Tasks [first] to `first + size - 1` of a job, the unit in which progress is stored.
 *
 * @property index the position of the chunk among the chunks of its job.
 */
class Chunk(val job: Job, val index: Int, val first: Int, val size: Int) {
    /** The tasks that are done, as offsets from [first]. */
    val done = BitSet(size)

    /** The placements of the chunk's tasks, by task number in the job. */
    val placements = TreeMap<Int, Placement>()

    /** The page to which the chunk is assigned; null before its first change. */
    var page: ChunkPage? = null

    /** Whether the chunk has changed since the last write of its page was started. */
    var dirty = false

    /** How many stored pages that are split differently into chunks hold an older copy and are still to be cleared. */
    var supersededCopies = 0

    /** Whether the store holds the chunk's current state; another page may hold an older copy too. */
    val isStoredInItsPage: Boolean get() = !dirty && page?.isWriteInFlight != true

    /** Whether the store holds the chunk's current state and no older copy. */
    val isStored: Boolean get() = isStoredInItsPage && supersededCopies == 0
}

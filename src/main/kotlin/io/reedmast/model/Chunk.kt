package io.reedmast.model

import java.util.BitSet
import java.util.TreeMap

/**
 * Tasks [first] to `first + size - 1` of a job, the unit in which progress is stored.
 *
 * @property index the chunk's place among those of its job.
 */
class Chunk(val job: Job, val index: Int, val first: Int, val size: Int) {
    /** The tasks that are done, counted from [first]. */
    val done = BitSet(size)

    /** The placements of the chunk's tasks, by the tasks' numbers in the job. */
    val placements = TreeMap<Int, Placement>()

    /** The stored value that holds it, from its first change on. */
    var page: ChunkPage? = null

    /** Whether it has changed since its page was last handed to the store. */
    var dirty = false

    /** How many stored pages of another division hold an older copy of it and are yet to be cleared. */
    var supersededCopies = 0

    /** Whether the store holds its present state, though another page may hold an older one too. */
    val isStoredInItsPage: Boolean get() = !dirty && page?.isWriteInFlight != true

    /** Whether the store holds its present state, and nothing else of it. */
    val isStored: Boolean get() = isStoredInItsPage && supersededCopies == 0
}

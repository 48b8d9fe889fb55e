package io.reedmast.settings

/** Shares of a controller's heap, for state that grows with the number of tasks. */
object MemoryBudget {
    /** The part of the heap for placements. The rest is for jobs, machines, messages and the garbage collector. */
    private const val PLACEMENTS_FRACTION = 0.4

    /** One placement with its entries in the indices of its job and machine, its launch, and its stored form. */
    private const val BYTES_PER_PLACEMENT = 384

    /**
     * How many placements a controller with [heapBytes] of heap can hold. All shards together are limited to this
     * number, since the last controller left owns all of them.
     */
    fun maxPlacements(heapBytes: Long): Int =
        (heapBytes * PLACEMENTS_FRACTION / BYTES_PER_PLACEMENT).coerceAtMost(Int.MAX_VALUE.toDouble()).toInt()
}

package io.reedmast.persistence

import io.reedmast.kvstore.WritePriority
import io.reedmast.model.PendingWrite

/**
 * Decides which pages are written now. The decision is a pure function of what waits for a page and of the write permit
 * level: the fraction of one second's writes that this controller may still make (0 to 1).
 *
 * A page with new placements is written as soon as the permits allow it. A page with results only, which just save
 * repeated work, is written when there are permits to spare.
 */
internal object PageWritePolicy {
    /**
     * A page that has only results to store is written at the earliest this long after the first of these results, so
     * that results that come in close together share one put.
     */
    private const val RESULTS_DELAY_MS = 700L

    /** Results that have waited this long are written at a lower permit level, and before deferred writes. */
    private const val RESULTS_OVERDUE_MS = 8_000L

    /**
     * Permits up to this level are reserved for acceptances of jobs: each takes one permit, which should be available
     * at once because a user waits.
     */
    private const val LEVEL_RESERVED_FOR_ACCEPTANCES = 0.25

    /**
     * Results are submitted to the store only above this level, at which they can be written at once: while a page
     * waits to be written, nothing new in it can be stored.
     */
    private const val MIN_LEVEL_FOR_RESULTS = 0.65

    /** Above this level, pages with placements of any kind are written concurrently, up to [MAX_PLACEMENT_WRITES]. */
    private const val MIN_LEVEL_FOR_MANY_WRITES = 0.8

    private const val MAX_PLACEMENT_WRITES = 8
    private const val MAX_PLACEMENT_WRITES_FOR_URGENT = 5
    private const val MAX_PLACEMENT_WRITES_FOR_ARRAYS = 2

    /** Whether a page may be written at all after it has differed from its stored value for [dirtyForMs]. */
    fun isDue(pendingWrite: PendingWrite, dirtyForMs: Long): Boolean =
        pendingWrite != PendingWrite.RESULTS || dirtyForMs >= RESULTS_DELAY_MS

    /**
     * The priority with which a page that is due is written now, or null if it has to wait.
     *
     * @param permitLevel the write permits that are left, as a fraction of one second's permits
     * @param placementWritesInFlight the number of writes in flight that placements wait for
     */
    fun priorityOf(
        pendingWrite: PendingWrite,
        dirtyForMs: Long,
        permitLevel: Double,
        placementWritesInFlight: Int,
    ): WritePriority? = when (pendingWrite) {
        PendingWrite.RESULTS -> priorityOfResults(dirtyForMs, permitLevel)

        PendingWrite.ARRAY_PLACEMENTS, PendingWrite.URGENT_PLACEMENTS ->
            WritePriority.URGENT.takeIf { mayWritePlacements(pendingWrite, permitLevel, placementWritesInFlight) }
    }

    private fun priorityOfResults(dirtyForMs: Long, permitLevel: Double): WritePriority? = when {
        dirtyForMs >= RESULTS_OVERDUE_MS && permitLevel > LEVEL_RESERVED_FOR_ACCEPTANCES -> WritePriority.URGENT
        dirtyForMs >= RESULTS_DELAY_MS && permitLevel > MIN_LEVEL_FOR_RESULTS -> WritePriority.DEFERRED
        else -> null
    }

    /**
     * Permits that are reserved for acceptances are not used, and the number of writes in flight is limited to as many
     * as a placement may have to wait for. Placements made in the meantime share the page's next put.
     */
    private fun mayWritePlacements(
        pendingWrite: PendingWrite,
        permitLevel: Double,
        placementWritesInFlight: Int,
    ): Boolean = permitLevel > LEVEL_RESERVED_FOR_ACCEPTANCES &&
        placementWritesInFlight < maxPlacementWrites(pendingWrite, permitLevel)

    private fun maxPlacementWrites(pendingWrite: PendingWrite, permitLevel: Double): Int = when {
        permitLevel > MIN_LEVEL_FOR_MANY_WRITES -> MAX_PLACEMENT_WRITES
        pendingWrite == PendingWrite.URGENT_PLACEMENTS -> MAX_PLACEMENT_WRITES_FOR_URGENT
        else -> MAX_PLACEMENT_WRITES_FOR_ARRAYS
    }
}

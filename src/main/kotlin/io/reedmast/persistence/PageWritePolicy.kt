package io.reedmast.persistence

import io.reedmast.kvstore.WritePriority
import io.reedmast.model.PendingWrite

/**
 * Decides which pages are written now, as a pure function of what waits for them and of the write permit level: the
 * part of a second's worth of writes that this controller may still make (0 to 1).
 *
 * A page that new placements wait for is written as soon as the permits allow it; one with results only, which save
 * repeated work, when there is room.
 */
internal object PageWritePolicy {
    /** Results are stored no sooner than this after the first of them, so that those of a moment share a put. */
    private const val RESULTS_DELAY_MS = 700L

    /** Results that have waited for so long are written with less room, and before deferred writes. */
    private const val RESULTS_OVERDUE_MS = 8_000L

    /**
     * Permits up to this level are left to acceptances: each takes one, and its user waits, so it should find it.
     */
    private const val LEVEL_RESERVED_FOR_ACCEPTANCES = 0.25

    /**
     * Results are handed over above this level, when there is room for them at once: while a page waits to be stored,
     * nothing new in it is.
     */
    private const val MIN_LEVEL_FOR_RESULTS = 0.65

    /** Above this level pages of placements are written side by side, whatever waits for them. */
    private const val MIN_LEVEL_FOR_MANY_WRITES = 0.8

    private const val MAX_PLACEMENT_WRITES = 8
    private const val MAX_PLACEMENT_WRITES_FOR_URGENT = 5
    private const val MAX_PLACEMENT_WRITES_FOR_ARRAYS = 2

    /** Whether a page may be written at all after having differed from its stored value for [dirtyForMs]. */
    fun isDue(pendingWrite: PendingWrite, dirtyForMs: Long): Boolean =
        pendingWrite != PendingWrite.RESULTS || dirtyForMs >= RESULTS_DELAY_MS

    /**
     * The priority with which a page that is due is written now, or null if it is to wait.
     *
     * @param permitLevel the write permits that are left, as a part of a second's worth
     * @param placementWritesInFlight how many writes of pages that placements wait for are in flight
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
     * Not with the permits that are left to acceptances. Nor are more writes in flight at once than a placement may
     * wait behind: what is placed meanwhile shares the page's next put.
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

package io.reedmast.cluster

/**
 * For how long a shard that another controller has acquired from this one is left to it.
 *
 * The other controller has a reason that may not be visible here; acquired back at once, the shard would go to and fro.
 * The delay doubles with each loss.
 */
internal class FailbackDelay {
    private var notBefore = 0L
    private var delayMs = MIN_DELAY_MS

    /** Another controller has acquired a shard of this controller's at [now]. */
    fun onAcquiredByAnother(now: Long) {
        notBefore = now + delayMs
        delayMs = minOf(delayMs * 2, MAX_DELAY_MS)
    }

    /** Whether a shard may be acquired back at time [now]. */
    fun hasElapsed(now: Long): Boolean = now > notBefore

    private companion object {
        const val MIN_DELAY_MS = 30_000L
        const val MAX_DELAY_MS = 240_000L
    }
}

package io.reedmast.cluster

/**
 * How long this controller does not fail shards back to itself after another controller has acquired one from it.
 *
 * The other controller had a reason that may not be visible here; if the shard were acquired back at once, it would
 * move back and forth. The delay doubles with each loss, up to a maximum.
 */
internal class FailbackDelay {
    private var notBefore = 0L
    private var delayMs = MIN_DELAY_MS

    /** Called when another controller has acquired a shard from this one, at [now]. */
    fun onAcquiredByAnother(now: Long) {
        notBefore = now + delayMs
        delayMs = minOf(delayMs * 2, MAX_DELAY_MS)
    }

    /** Whether a shard may be acquired back at [now]. */
    fun hasElapsed(now: Long): Boolean = now > notBefore

    private companion object {
        const val MIN_DELAY_MS = 30_000L
        const val MAX_DELAY_MS = 240_000L
    }
}

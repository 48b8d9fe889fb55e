package io.reedmast.kvstore

/**
 * This controller's part of the store's limit on changes: a bucket that fills at [perS] and holds a second's worth.
 *
 * A plain rate limiter would make an acceptance wait behind a large clean-up; here clean-up is asked to leave part of
 * the bucket, and only a transaction larger than the whole bucket draws it below zero.
 */
class WriteRateLimiter(perS: Double, private val nowMs: () -> Long) {
    private var rate = perS
    private var level = perS
    private var filledAt = nowMs()

    @Synchronized
    fun setRate(perS: Double) {
        fill()
        rate = perS
    }

    /** The part of a full bucket that is left, at most 1. */
    @Synchronized
    fun permitLevel(): Double {
        fill()
        return level / maxOf(rate, 1.0)
    }

    /** Takes [count] and returns 0, or takes nothing and returns after how many milliseconds to ask again. */
    @Synchronized
    fun tryAcquire(count: Int, writePriority: WritePriority): Long {
        fill()
        val full = maxOf(rate, 1.0)
        val needed = minOf(count + full * reservedAgainst(writePriority), full)
        if (level >= needed) {
            level -= count
            return 0L
        }
        return maxOf(1L, ((needed - level) / rate * 1000).toLong())
    }

    /** The service refused for its limit: our count of it was wrong, or others took more than their part. */
    @Synchronized
    fun empty() {
        fill()
        level = minOf(level, 0.0)
    }

    /** The part of a full bucket that a change of this priority leaves to more pressing ones. */
    private fun reservedAgainst(writePriority: WritePriority) = when (writePriority) {
        WritePriority.USER -> 0.0
        WritePriority.URGENT -> RESERVED_FOR_USERS
        WritePriority.DEFERRED -> RESERVED_FOR_URGENT
    }

    private fun fill() {
        val now = nowMs()
        level = minOf(maxOf(rate, 1.0), level + (now - filledAt) / 1000.0 * rate)
        filledAt = now
    }

    private companion object {
        /**
         * A user's change finds room at once, however many others there are: the rate at which these go is the same.
         */
        const val RESERVED_FOR_USERS = 0.3
        const val RESERVED_FOR_URGENT = 0.45
    }
}

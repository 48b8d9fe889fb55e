package io.reedmast.kvstore

/**
 * This controller's part of the store's limit on writes: a token bucket of permits, one a write, that is refilled at a
 * steady rate and holds a second's worth. Thread-safe.
 *
 * A plain rate limiter would make an acceptance wait behind a large clean-up; here clean-up is asked to leave part of
 * the bucket, and only a transaction larger than the whole bucket draws it below zero.
 *
 * @param permitsPerS how many permits a second come in.
 * @param nowMs a monotonic clock, in milliseconds.
 */
class WriteRateLimiter(permitsPerS: Double, private val nowMs: () -> Long) {
    private var refillPerS = permitsPerS

    /** The permits in the bucket; below 0 after a transaction larger than the bucket. */
    private var level = permitsPerS
    private var refilledAtMs = nowMs()

    private val capacity: Double get() = maxOf(refillPerS, MIN_CAPACITY)

    /** From now on so many permits a second come in. */
    @Synchronized
    fun setRate(permitsPerS: Double) {
        refill()
        refillPerS = permitsPerS
    }

    /** The part of a full bucket that is available, at most 1. */
    @Synchronized
    fun permitLevel(): Double {
        refill()
        return level / capacity
    }

    /** Takes [count] permits and returns 0, or takes none and returns after how many milliseconds to ask again. */
    @Synchronized
    fun tryAcquire(count: Int, writePriority: WritePriority): Long {
        refill()
        val neededLevel = minOf(count + capacity * reservedFrom(writePriority), capacity)
        if (level >= neededLevel) {
            level -= count
            return 0L
        }
        return maxOf(1L, ((neededLevel - level) / refillPerS * MS_PER_S).toLong())
    }

    /** The store refused for its limit: our count of it was wrong, or others took more than their part. */
    @Synchronized
    fun empty() {
        refill()
        level = minOf(level, 0.0)
    }

    /** The part of a full bucket that a transaction of this priority leaves to more pressing ones. */
    private fun reservedFrom(writePriority: WritePriority) = when (writePriority) {
        WritePriority.USER -> 0.0
        WritePriority.URGENT -> RESERVED_FOR_USERS
        WritePriority.DEFERRED -> RESERVED_FROM_DEFERRED
    }

    private fun refill() {
        val now = nowMs()
        level = minOf(capacity, level + (now - refilledAtMs) / MS_PER_S * refillPerS)
        refilledAtMs = now
    }

    private companion object {
        const val MS_PER_S = 1_000.0

        /** A single write must fit the bucket, however low the rate is. */
        const val MIN_CAPACITY = 1.0

        /**
         * A user's transaction is paid for at once, however many others there are: the rate at which these go is the
         * same.
         */
        const val RESERVED_FOR_USERS = 0.3

        /** For users and urgent transactions together. */
        const val RESERVED_FROM_DEFERRED = 0.45
    }
}

package io.reedmast.kvstore

/**
 * Enforces this controller's share of the store's limit on writes: a token bucket with one permit per write, which is
 * refilled at a constant rate and holds the permits of one second. Thread-safe.
 *
 * With a plain rate limiter, the acceptance of a job would wait behind a large clean-up. Here clean-up must leave part
 * of the bucket, and only a transaction larger than the whole bucket takes its level below zero.
 *
 * @param permitsPerS the refill rate, in permits per second.
 * @param nowMs a monotonic clock, in milliseconds.
 */
class WriteRateLimiter(permitsPerS: Double, private val nowMs: () -> Long) {
    private var refillPerS = permitsPerS

    /** The permits in the bucket; below 0 after a transaction larger than the bucket. */
    private var level = permitsPerS
    private var refilledAtMs = nowMs()

    private val capacity: Double get() = maxOf(refillPerS, MIN_CAPACITY)

    /** Sets the refill rate, from now on, to [permitsPerS] permits per second. */
    @Synchronized
    fun setRate(permitsPerS: Double) {
        refill()
        refillPerS = permitsPerS
    }

    /** The available fraction of a full bucket, at most 1; negative after a transaction larger than the bucket. */
    @Synchronized
    fun permitLevel(): Double {
        refill()
        return level / capacity
    }

    /** Takes [count] permits and returns 0, or takes none and returns how many milliseconds to wait before a retry. */
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

    /**
     * Empties the bucket after the store has refused a request because of its rate limit: this controller's count was
     * wrong, or other controllers took more than their share.
     */
    @Synchronized
    fun empty() {
        refill()
        level = minOf(level, 0.0)
    }

    /** The fraction of a full bucket that a transaction of this priority must leave to those of higher priorities. */
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

        /** A single write must fit into the bucket, however low the rate is. */
        const val MIN_CAPACITY = 1.0

        /**
         * With this reserve a user's transaction gets its permits at once, however many others are waiting; the rate
         * at which the others are sent stays the same.
         */
        const val RESERVED_FOR_USERS = 0.3

        /** The reserve for users' and urgent transactions together. */
        const val RESERVED_FROM_DEFERRED = 0.45
    }
}

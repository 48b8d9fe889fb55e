package io.reedmast.kvstore

import io.reedmast.settings.StoreLimits

/**
 * The store's limits that this process applies, and whether every controller is known to run this version. Thread-safe.
 *
 * The store reduces its limits without notice, at some time after all controllers have been upgraded. Everything newly
 * stored keeps from the start to [target], which both the current and the next limits allow. Records stored by an
 * earlier version may be larger; they are split only once they are no longer read by any controller that cannot read
 * split records: see [isReduced].
 *
 * @param current the limits in the settings.
 * @param next the limits after the reduction; null if no change of limits is announced.
 */
class EffectiveLimits(private val current: StoreLimits, next: StoreLimits? = null) {
    /** The limits that all new records, transactions and pages are made to fit. */
    val target: StoreLimits = if (next == null) current else smallerOf(current, next)

    @Volatile
    private var reduced = false

    /**
     * Whether every controller is known to run this version, so that the store may reduce its limits at any time or
     * has already reduced them.
     */
    val isReduced: Boolean get() = reduced

    /** The limits that the store is assumed to apply. */
    val allowed: StoreLimits get() = if (reduced) target else current

    /**
     * To be called when all controllers have been seen running this version, or when the store has refused what it used
     * to accept, which proves the same.
     */
    fun reduce() {
        reduced = true
    }

    /** Whether the transaction is within the limits from before the reduction, but not within the reduced ones. */
    fun exceedsOnlyReduced(transaction: StoreTransaction): Boolean =
        !isWithin(target, transaction) && isWithin(current, transaction)

    private fun isWithin(limits: StoreLimits, transaction: StoreTransaction): Boolean =
        transaction.writes.size <= limits.writesPerTransaction &&
            transaction.preconditions.size <= limits.maxPreconditions &&
            transaction.writes.all { it !is Write.Put || it.storedSize(transaction.id) <= limits.valueBytes }

    private companion object {
        fun smallerOf(first: StoreLimits, second: StoreLimits) = StoreLimits(
            requestsPerS = minOf(first.requestsPerS, second.requestsPerS),
            writesPerS = minOf(first.writesPerS, second.writesPerS),
            valueBytes = minOf(first.valueBytes, second.valueBytes),
            writesPerTransaction = minOf(first.writesPerTransaction, second.writesPerTransaction),
        )
    }
}

package io.reedmast.kvstore

import io.reedmast.settings.StoreLimits

/**
 * Which limits of the store hold for this process, and with them whether every controller is known to have this
 * version. Thread-safe.
 *
 * The store reduces its limits without notice, at some moment after all controllers have been upgraded. What is stored
 * anew keeps to [target], which both limits allow, from the start. What an earlier version has stored may be larger,
 * and is split only once no controller that cannot read split records reads it any more: see [isReduced].
 *
 * @param current the limits in the settings.
 * @param next the limits that will hold from that moment; null if no change of limits is announced.
 */
class EffectiveLimits(private val current: StoreLimits, next: StoreLimits? = null) {
    /** What all new records, transactions and pages are made to fit. */
    val target: StoreLimits = if (next == null) current else smallerOf(current, next)

    @Volatile
    private var reduced = false

    /**
     * Whether every controller is known to have this version, so that the store may reduce its limits at any moment,
     * or has.
     */
    val isReduced: Boolean get() = reduced

    /** What the store is assumed to accept. */
    val allowed: StoreLimits get() = if (reduced) target else current

    /**
     * To be called when all controllers have been seen with this version, or when the store has refused what it used to
     * accept: both prove the same.
     */
    fun reduce() {
        reduced = true
    }

    /** Whether the store would have accepted the transaction before its limits were reduced, and does no more. */
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

package io.reedmast.kvstore

import io.reedmast.settings.StoreLimits

/**
 * Which limits of the store hold for this process, and with them whether every controller is known to have this
 * version.
 *
 * The service lowers its limits without notice, at some moment after all controllers have been upgraded. What is stored
 * anew keeps to [target], which both limits allow, from the start. What an earlier version has stored may be larger,
 * and is divided only once nobody reads it any more who does not know how: see [isReduced].
 */
class EffectiveLimits(private val now: StoreLimits, next: StoreLimits? = null) {
    /** What all new records, transactions and pages are made to fit. */
    val target: StoreLimits = if (next == null) now else smallerOf(now, next)

    @Volatile
    private var reduced = false

    /**
     * Whether every controller is known to have this version, so that the service may lower its limits at any moment,
     * or has.
     */
    val isReduced: Boolean get() = reduced

    /** What the service is taken to accept. */
    val allowed: StoreLimits get() = if (reduced) target else now

    /**
     * All controllers have been seen with this version, or the service has refused what it used to take: both prove the
     * same.
     */
    fun reduce() {
        reduced = true
    }

    /** Whether the service would have taken the transaction before its limits fell, and takes it no more. */
    fun exceedsOnlyReduced(transaction: StoreTransaction): Boolean =
        !isWithin(target, transaction) && isWithin(now, transaction)

    private fun isWithin(limits: StoreLimits, transaction: StoreTransaction): Boolean =
        transaction.writes.size <= limits.opsPerCommit &&
            transaction.preconditions.size <= limits.opsPerCommit * CONDITIONS_PER_CHANGE &&
            transaction.writes.all { it !is Write.Put || it.storedSize(transaction.id) <= limits.valueBytes }

    companion object {
        /** The store takes so many conditions for each change that a transaction may hold. */
        const val CONDITIONS_PER_CHANGE = 4

        private fun smallerOf(a: StoreLimits, b: StoreLimits) = StoreLimits(
            minOf(a.requestsPerS, b.requestsPerS),
            minOf(a.writesPerS, b.writesPerS),
            minOf(a.valueBytes, b.valueBytes),
            minOf(a.opsPerCommit, b.opsPerCommit),
        )
    }
}

package io.reedmast.state

import io.reedmast.settings.StateLimits

/**
 * Which limits of the state service hold for this process, and with them whether every controller is known to have this version.
 *
 * The service lowers its limits without notice, at some moment after all controllers have been upgraded. What is stored anew keeps
 * to [target], which both limits allow, from the start. What an earlier version has stored may be larger, and is divided only once
 * nobody reads it any more who does not know how: see [isLowered].
 */
class LimitsInForce(private val now: StateLimits, next: StateLimits? = null) {
    /** What all new records, transactions and pages are made to fit. */
    val target: StateLimits = if (next == null) now else lowerOf(now, next)

    @Volatile
    private var lowered = false

    /** Whether every controller is known to have this version, so that the service may lower its limits at any moment, or has. */
    val isLowered: Boolean get() = lowered

    /** What the service is taken to accept. */
    val allowed: StateLimits get() = if (lowered) target else now

    /** All controllers have been seen with this version, or the service has refused what it used to take: both prove the same. */
    fun lower() {
        lowered = true
    }

    /** Whether the service would have taken the transaction before its limits fell, and takes it no more. */
    fun onlyFormerlyAllowed(transaction: Transaction): Boolean = !isWithin(target, transaction) && isWithin(now, transaction)

    private fun isWithin(limits: StateLimits, transaction: Transaction): Boolean = transaction.writes.size <= limits.opsPerCommit &&
        transaction.guards.size <= limits.opsPerCommit * CONDITIONS_PER_CHANGE &&
        transaction.writes.all { it !is Write.Put || it.storedSize(transaction.id) <= limits.valueBytes }

    companion object {
        /** The state service takes so many conditions for each change that a transaction may hold. */
        const val CONDITIONS_PER_CHANGE = 4

        private fun lowerOf(a: StateLimits, b: StateLimits) = StateLimits(
            minOf(a.requestsPerS, b.requestsPerS),
            minOf(a.writesPerS, b.writesPerS),
            minOf(a.valueBytes, b.valueBytes),
            minOf(a.opsPerCommit, b.opsPerCommit),
        )
    }
}

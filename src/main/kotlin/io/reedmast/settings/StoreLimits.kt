package io.reedmast.settings

/**
 * What the store accepts from all controllers together.
 *
 * @property requestsPerS requests of any kind per second.
 * @property writesPerS puts and deletes per second.
 * @property valueBytes the size of one value as JSON, in bytes.
 * @property writesPerTransaction puts and deletes in one transaction.
 */
data class StoreLimits(
    val requestsPerS: Double,
    val writesPerS: Double,
    val valueBytes: Int,
    val writesPerTransaction: Int,
) {
    /** The maximum number of preconditions in one transaction (PROTOCOL, POST /commit). */
    val maxPreconditions: Int get() = writesPerTransaction * PRECONDITIONS_PER_WRITE

    private companion object {
        const val PRECONDITIONS_PER_WRITE = 4
    }
}

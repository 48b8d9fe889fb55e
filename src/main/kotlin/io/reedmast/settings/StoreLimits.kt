package io.reedmast.settings

/**
 * What the store accepts, from all controllers together.
 *
 * @property requestsPerS requests a second, of any kind.
 * @property writesPerS puts and deletes a second.
 * @property valueBytes the size of one value as JSON.
 * @property opsPerCommit puts and deletes in one transaction.
 */
data class StoreLimits(
    val requestsPerS: Double,
    val writesPerS: Double,
    val valueBytes: Int,
    val writesPerTransaction: Int,
) {
    /** How many preconditions one transaction may hold (PROTOCOL, POST /commit). */
    val maxPreconditions: Int get() = writesPerTransaction * PRECONDITIONS_PER_WRITE

    private companion object {
        const val PRECONDITIONS_PER_WRITE = 4
    }
}

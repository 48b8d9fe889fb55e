package io.reedmast.settings

/**
 * The limits of the cloud.
 *
 * @property requestsPerS the requests per second that it accepts from all controllers together.
 * @property listLagS by how many seconds its machine list lags.
 */
data class CloudLimits(val requestsPerS: Double, val listLagS: Double)

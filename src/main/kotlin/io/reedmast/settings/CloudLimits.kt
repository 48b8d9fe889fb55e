package io.reedmast.settings

/** The requests a second that the cloud accepts from all controllers together, and by how much its list is behind. */
data class CloudLimits(val requestsPerS: Double, val listLagS: Double)

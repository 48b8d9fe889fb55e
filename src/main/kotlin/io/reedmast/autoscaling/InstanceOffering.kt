package io.reedmast.autoscaling

/** Machines that the cloud offers for rent: of one type, in one zone, spot or on-demand. */
data class InstanceOffering(val typeName: String, val zone: String, val spot: Boolean)

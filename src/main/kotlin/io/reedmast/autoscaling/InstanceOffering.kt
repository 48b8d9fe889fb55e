package io.reedmast.autoscaling

/** What the cloud rents: machines of one type in one zone, spot or on-demand. */
data class InstanceOffering(val typeName: String, val zone: String, val spot: Boolean)

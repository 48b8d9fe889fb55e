package io.reedmast.autoscaling

/** What tasks must have in common for their [Demand] to be added up: they may run on the same machines. */
data class DemandKind(val spot: Boolean, val allowedTypes: List<String>?, val zone: String?, val pastDeadline: Boolean)

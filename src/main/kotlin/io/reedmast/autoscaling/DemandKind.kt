package io.reedmast.autoscaling

/** What tasks must have in common, so as to be able to run on the same machines, for their [Demand] to be added up. */
data class DemandKind(val spot: Boolean, val allowedTypes: List<String>?, val zone: String?, val pastDeadline: Boolean)

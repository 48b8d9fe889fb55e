package io.reedmast.settings

/**
 * A service-level objective of the deployment.
 *
 * @property jobClass the class of jobs that it applies to; null: all classes.
 * @property withinS the time limit, in seconds, for a [kind] that has one.
 */
data class Objective(val kind: String, val jobClass: String?, val withinS: Double?)

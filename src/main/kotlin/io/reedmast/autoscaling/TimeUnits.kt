package io.reedmast.autoscaling

/** Milliseconds in a second: settings are in seconds, the clock is in milliseconds. */
internal const val MS_PER_S = 1000.0

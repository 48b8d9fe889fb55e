package io.reedmast.cluster

/**
 * The greatest difference between two monotonic clocks over any interval, as a fraction of that interval: twice the
 * bound that the protocol gives (PROTOCOL, introduction: 0.05%).
 */
internal const val MAX_CLOCK_DRIFT_RATIO = 0.001

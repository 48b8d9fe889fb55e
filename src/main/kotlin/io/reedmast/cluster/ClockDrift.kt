package io.reedmast.cluster

/**
 * By how much two steady clocks may disagree over any time, as a part of it: twice the bound that the protocol gives
 * (PROTOCOL, introduction: 0.05%).
 */
internal const val MAX_CLOCK_DRIFT_RATIO = 0.001

package io.reedmast.cluster

/** By how much two steady clocks may disagree over any time, as a part of it: twice the protocol's bound for one. */
internal const val CLOCK_DRIFT = 0.001

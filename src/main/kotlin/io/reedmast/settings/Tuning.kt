package io.reedmast.settings

/**
 * Parameters that operators may tune, in seconds: each has a flag, an environment variable and this default. Limits
 * that follow from the process itself have neither flag nor variable.
 */
data class Tuning(
    /** The sliding window over which charged use is counted. */
    val usageWindowS: Double = DEFAULT_USAGE_WINDOW_S,
    /** The longest protected minimum run time. */
    val maxProtectedRunTimeS: Double = DEFAULT_MAX_PROTECTED_RUN_TIME_S,
    /** How often the leader resizes shards. */
    val resizeIntervalS: Double = 3.0,
    /** How often shard owners write usage summaries, with the totals of the teams. */
    val usageSummaryIntervalS: Double = 5.0,
    /** How long an empty on-demand machine is kept before it is returned; null: derived from boot and fetch times. */
    val idleTimeoutS: Double? = null,
    /** How many placements all shards together may hold; it follows from the heap. */
    val maxPlacements: Int = MemoryBudget.maxPlacements(Runtime.getRuntime().maxMemory()),
) {
    private companion object {
        const val DEFAULT_USAGE_WINDOW_S = 6 * 3600.0
        const val DEFAULT_MAX_PROTECTED_RUN_TIME_S = 30 * 60.0
    }
}

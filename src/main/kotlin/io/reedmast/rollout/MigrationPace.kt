package io.reedmast.rollout

/** Limits on how fast records are migrated. */
data class MigrationPace(
    /** The minimum time between two records. */
    val recordIntervalMs: Long = 100L,
    /** Nothing is written while fewer write permits are left than this fraction of one second's permits. */
    val minPermitLevel: Double = 0.7,
    /**
     * A record is written regardless of the permits left once this time has passed without a write: migrations must
     * finish even where the permit level is always low.
     */
    val maxRecordDelayMs: Long = 5_000L,
)

package io.reedmast.rollout

/** How fast records are migrated. */
data class MigrationPace(
    /** The least time between two records. */
    val recordIntervalMs: Long = 100L,
    /** Nothing is migrated while less than this part of a second's worth of changes is left. */
    val minPermitLevel: Double = 0.7,
    /**
     * A record goes all the same once this time has passed without one: where there is never much left, migrations must
     * end too.
     */
    val maxRecordDelayMs: Long = 5_000L,
)

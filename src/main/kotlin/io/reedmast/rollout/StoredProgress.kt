package io.reedmast.rollout

/** The stored progress of a migration, with the version of its key. */
data class StoredProgress(val progress: MigrationProgress, val version: Long)

package io.reedmast.rollout

/** Progress of a migration as stored, with the version of its key. */
data class StoredProgress(val progress: MigrationProgress, val version: Long)

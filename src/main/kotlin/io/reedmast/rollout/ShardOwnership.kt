package io.reedmast.rollout

/** The owner of a shard as last stored: the label of a controller, and the version of the shard's record. */
data class ShardOwnership(val owner: String, val version: Long)

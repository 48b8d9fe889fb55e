package io.reedmast.rollout

/** A shard's owner as last stored: the label of a controller, with the version of the shard's record. */
data class ShardOwnership(val owner: String, val version: Long)

package io.reedmast.cluster

import io.reedmast.model.ShardRecord

/** A shard's record as last read, with its version, which is the owner's term. */
data class StoredShardRecord(val record: ShardRecord, val version: Long)

package io.reedmast.cluster

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.StoredItem
import io.reedmast.model.ShardRecord
import io.reedmast.rollout.ClusterRecords
import io.reedmast.rollout.FeatureName
import io.reedmast.rollout.ShardOwnership

/** The cluster's records as the rollout's administration needs them. */
class StoredClusterRecords(private val shards: Int) : ClusterRecords {
    override fun shardOwners(items: List<StoredItem>): List<ShardOwnership?> {
        val byPath = items.associateBy { it.path }
        return (0 until shards).map { index ->
            byPath[Keys.shard(index)]?.let { ShardOwnership(ShardRecord.parse(it.value).owner, it.version) }
        }
    }

    override fun externallyFinalized(items: List<StoredItem>): Set<FeatureName> {
        val reached = items.firstOrNull { it.path == Keys.FORMAT }?.let { FormatGate.isReached(it.value) } ?: false
        return if (reached) setOf(ClusterFeatures.DIVIDED_RECORDS) else emptySet()
    }
}

package io.reedmast.cluster

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.StoredItem
import io.reedmast.model.ShardRecord
import io.reedmast.rollout.ClusterRecords
import io.reedmast.rollout.FeatureName
import io.reedmast.rollout.ShardOwnership

/** Reads the cluster's records for the administration of the rollout, which does not watch them. */
class StoredClusterRecords(private val shardCount: Int) : ClusterRecords {
    override fun shardOwners(items: List<StoredItem>): List<ShardOwnership?> {
        val byPath = items.associateBy { it.path }
        return (0 until shardCount).map { index ->
            byPath[Keys.shard(index)]?.let { ShardOwnership(ShardRecord.parse(it.value).owner, it.version) }
        }
    }

    override fun externallyFinalized(items: List<StoredItem>): Set<FeatureName> {
        val gate = items.firstOrNull { it.path == Keys.FORMAT }
        val isFinalized = gate != null && FormatGate.readsDividedRecords(gate.value)
        return if (isFinalized) setOf(ClusterFeatures.DIVIDED_RECORDS) else emptySet()
    }
}

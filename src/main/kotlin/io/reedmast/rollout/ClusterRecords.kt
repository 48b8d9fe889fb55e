package io.reedmast.rollout

import io.reedmast.kvstore.StoredItem

/**
 * Reads shard owners and features with separate records from the cluster's keys, whose formats the rollout does not
 * define.
 */
interface ClusterRecords {
    /** The owners of all shards, by index; null for a shard that has not been acquired yet. */
    fun shardOwners(items: List<StoredItem>): List<ShardOwnership?>

    /** The features that records other than the rollout record show to be finalized. */
    fun externallyFinalized(items: List<StoredItem>): Set<FeatureName>
}

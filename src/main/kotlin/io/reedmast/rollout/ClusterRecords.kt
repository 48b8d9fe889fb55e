package io.reedmast.rollout

import io.reedmast.kvstore.StoredItem

/**
 * Reads shards' owners and features with records of their own from the cluster's keys, whose forms are not the
 * rollout's.
 */
interface ClusterRecords {
    /** The owners of all shards, by index; null for a shard that nobody has acquired yet. */
    fun shardOwners(items: List<StoredItem>): List<ShardOwnership?>

    /** The features that records of their own finalize. */
    fun externallyFinalized(items: List<StoredItem>): Set<FeatureName>
}

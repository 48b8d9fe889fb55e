package io.reedmast.cluster

import io.reedmast.settings.ShardId
import io.reedmast.shard.ShardOwner

/** The [ShardOwner] objects of the shards that this controller has acquired, at most one per shard. */
class ShardOwners(shardCount: Int, private val createOwner: (ShardId) -> ShardOwner) {
    private val ownersByShard = arrayOfNulls<ShardOwner>(shardCount)

    /** The owner of [shard] if this controller has acquired it; its state may still be being restored. */
    operator fun get(shard: ShardId): ShardOwner? = ownersByShard[shard.value]

    /** The owners that have not been dropped, in the order of their shards. */
    fun active(): List<ShardOwner> = ownersByShard.filterNotNull().filter { !it.dropped }

    /** Replaces the owner of [shard] by a new one with the record and term in [stored], and returns the new one. */
    fun replace(shard: ShardId, stored: StoredShardRecord): ShardOwner {
        val owner = createOwner(shard)
        owner.sync(stored.record, stored.version)
        ownersByShard[shard.value] = owner
        return owner
    }

    /** Removes the owner of [shard], if there is one, and marks it as dropped: it ignores answers that still arrive. */
    fun drop(shard: ShardId) {
        ownersByShard[shard.value]?.dropped = true
        ownersByShard[shard.value] = null
    }
}

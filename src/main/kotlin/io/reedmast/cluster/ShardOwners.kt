package io.reedmast.cluster

import io.reedmast.settings.ShardId
import io.reedmast.shard.ShardOwner

/** The owners of the shards that this controller has acquired, at most one a shard. */
class ShardOwners(shardCount: Int, private val createOwner: (ShardId) -> ShardOwner) {
    private val ownersByShard = arrayOfNulls<ShardOwner>(shardCount)

    /** The owner of [shard], if this controller has acquired it; it may still be restoring the shard's state. */
    operator fun get(shard: ShardId): ShardOwner? = ownersByShard[shard.value]

    /** The owners that may still act, in the order of their shards. */
    fun active(): List<ShardOwner> = ownersByShard.filterNotNull().filter { !it.dropped }

    /** Puts a new owner of the shard that [stored] describes in the place of the one before, and returns it. */
    fun replace(shard: ShardId, stored: StoredShardRecord): ShardOwner {
        val owner = createOwner(shard)
        owner.sync(stored.record, stored.version)
        ownersByShard[shard.value] = owner
        return owner
    }

    /** The shard is not this controller's any more: its owner ignores the answers that still come in. */
    fun drop(shard: ShardId) {
        ownersByShard[shard.value]?.dropped = true
        ownersByShard[shard.value] = null
    }
}

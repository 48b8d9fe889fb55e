package io.reedmast.cluster

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.ReadResult
import io.reedmast.model.ShardRecord
import io.reedmast.ports.KeyValueStore
import io.reedmast.settings.ShardId
import io.reedmast.wire.Fields

/**
 * The shards' records and the token counter, as last read from the store or confirmed by the answers to this
 * controller's transactions.
 */
class ShardTable(
    shardCount: Int,
    private val store: KeyValueStore,
    /** Called for each newer record, with the shard, the previous record and the new one. */
    private val onChange: (ShardId, StoredShardRecord?, StoredShardRecord) -> Unit,
) {
    /** The record of each shard; null while it has never had an owner. */
    val records = arrayOfNulls<StoredShardRecord>(shardCount)

    /** The highest token assigned to any shard so far. */
    var token = 0L
        private set

    /** The version of the token counter, a precondition for assigning the next token. */
    var tokenVersion = 0L
        private set
    private val refreshing = BooleanArray(shardCount)

    /** The label of the controller that owns [shard]; null while it has never had an owner. */
    fun ownerOf(shard: ShardId): String? = records[shard.value]?.record?.owner

    /** The term in which [owner] owns [shard]; null if another controller owns it, or none does. */
    fun termOf(owner: String, shard: ShardId): Long? =
        records[shard.value]?.takeIf { it.record.owner == owner }?.version

    /** The number of shards that the controller [owner] owns. */
    fun countOf(owner: String): Int = records.count { it?.record?.owner == owner }

    /** Applies the value under [path], if it is one of this table's keys; a deletion changes nothing. */
    fun applyRecord(path: String, value: Fields?, version: Long) {
        if (value == null) return
        if (path == Keys.TOKEN_COUNTER) {
            applyToken(TokenCounter.tokenOf(value), version)
        } else if (path.startsWith(Keys.SHARDS)) {
            val shard = path.removePrefix(Keys.SHARDS).toIntOrNull() ?: return
            if (shard in records.indices) applyShard(ShardId(shard), ShardRecord.parse(value), version)
        }
    }

    /** Applies the token counter's value, unless a newer [version] is known. */
    fun applyToken(value: Long, version: Long) {
        if (version <= tokenVersion) return
        token = value
        tokenVersion = version
    }

    /** Applies the record of [shard], unless a newer [version] is known. */
    fun applyShard(shard: ShardId, record: ShardRecord, version: Long) {
        val previous = records[shard.value]
        if (previous != null && previous.version >= version) return
        val current = StoredShardRecord(record, version)
        records[shard.value] = current
        onChange(shard, previous, current)
    }

    /** Reads the record of [shard] again and passes the result to [onRead], unless such a read is in progress. */
    fun refresh(shard: ShardId, onRead: (ReadResult) -> Unit) {
        if (refreshing[shard.value]) return
        refreshing[shard.value] = true
        store.get(Keys.shard(shard.value)) { result ->
            refreshing[shard.value] = false
            onRead(result)
        }
    }
}

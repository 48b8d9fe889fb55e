package io.reedmast.cluster

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.ReadResult
import io.reedmast.model.ShardRecord
import io.reedmast.ports.KeyValueStore
import io.reedmast.settings.ShardId
import io.reedmast.wire.Fields

/** A shard record as last seen, with its version. */
data class StoredRecord(val record: ShardRecord, val version: Long)

/** The shards' records and the token counter, as last seen in the store or in answers to this controller's changes. */
class ShardTable(
    shards: Int,
    private val store: KeyValueStore,
    /** Called with each newer record and the one before it. */
    private val onChange: (ShardId, StoredRecord?, StoredRecord) -> Unit,
) {
    val records = arrayOfNulls<StoredRecord>(shards)

    /** The highest token given so far, and the version of the counter. */
    var token = 0L
        private set
    var tokenVersion = 0L
        private set
    private val refreshing = BooleanArray(shards)

    fun ownerOf(shard: ShardId): String? = records[shard.value]?.record?.owner

    /** How many shards [owner] has. */
    fun countOf(owner: String): Int = records.count { it?.record?.owner == owner }

    /** Takes up the value under [path], if it is one of this table's keys. */
    fun applyRecord(path: String, value: Fields?, version: Long) {
        if (value == null) return
        if (path == Keys.TOKEN) {
            applyToken(TokenCounter.tokenOf(value), version)
        } else if (path.startsWith(Keys.SHARDS)) {
            val shard = path.removePrefix(Keys.SHARDS).toIntOrNull() ?: return
            if (shard in records.indices) applyShard(ShardId(shard), ShardRecord.parse(value), version)
        }
    }

    fun applyToken(value: Long, version: Long) {
        if (version <= tokenVersion) return
        token = value
        tokenVersion = version
    }

    fun applyShard(shard: ShardId, record: ShardRecord, version: Long) {
        val before = records[shard.value]
        if (before != null && before.version >= version) return
        val now = StoredRecord(record, version)
        records[shard.value] = now
        onChange(shard, before, now)
    }

    /** Reads the shard's record again, unless that is being done. */
    fun refresh(shard: ShardId, read: (ReadResult) -> Unit) {
        if (refreshing[shard.value]) return
        refreshing[shard.value] = true
        store.get(Keys.shard(shard.value)) { fetched ->
            refreshing[shard.value] = false
            read(fetched)
        }
    }
}

package io.reedmast.ownership

import io.reedmast.ports.Gateway
import io.reedmast.settings.SliceIndex
import io.reedmast.state.Fetched
import io.reedmast.state.Keys
import io.reedmast.wire.Fields

/** A slice record as last seen, with its version. */
data class StoredRecord(val record: SliceRecord, val version: Long)

/** The slices' records and the token counter, as last seen in the state service or in answers to this node's changes. */
class SliceTable(
    slices: Int,
    private val out: Gateway,
    /** Called with each newer record and the one before it. */
    private val onChange: (SliceIndex, StoredRecord?, StoredRecord) -> Unit,
) {
    val records = arrayOfNulls<StoredRecord>(slices)

    /** The highest token given so far, and the version of the counter. */
    var token = 0L
        private set
    var tokenVersion = 0L
        private set
    private val refreshing = BooleanArray(slices)

    fun ownerOf(slice: SliceIndex): String? = records[slice.value]?.record?.owner

    /** How many slices [owner] has. */
    fun countOf(owner: String): Int = records.count { it?.record?.owner == owner }

    /** Takes up the value under [path], if it is one of this table's keys. */
    fun see(path: String, value: Fields?, version: Long) {
        if (value == null) return
        if (path == Keys.TOKEN) {
            seeToken(TokenFence.tokenOf(value), version)
        } else if (path.startsWith(Keys.SLICES)) {
            val slice = path.removePrefix(Keys.SLICES).toIntOrNull() ?: return
            if (slice in records.indices) seeSlice(SliceIndex(slice), SliceRecord.parse(value), version)
        }
    }

    fun seeToken(value: Long, version: Long) {
        if (version <= tokenVersion) return
        token = value
        tokenVersion = version
    }

    fun seeSlice(slice: SliceIndex, record: SliceRecord, version: Long) {
        val before = records[slice.value]
        if (before != null && before.version >= version) return
        val now = StoredRecord(record, version)
        records[slice.value] = now
        onChange(slice, before, now)
    }

    /** Reads the slice's record again, unless that is being done. */
    fun refresh(slice: SliceIndex, read: (Fetched) -> Unit) {
        if (refreshing[slice.value]) return
        refreshing[slice.value] = true
        out.get(Keys.slice(slice.value)) { fetched ->
            refreshing[slice.value] = false
            read(fetched)
        }
    }
}

package io.reedmast.kvstore

import io.reedmast.wire.Fields
import io.reedmast.wire.StoreMessages

/** The [value] under a key of the store; [version] is the revision at which it was stored. */
data class StoredItem(val path: String, val value: Fields, val version: Long) {
    /** The id of the transaction that stored it; null if the value carries none. */
    val transactionId: String? get() = StoreMessages.transactionId(value)
}

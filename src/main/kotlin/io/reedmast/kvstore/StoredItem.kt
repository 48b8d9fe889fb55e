package io.reedmast.kvstore

import io.reedmast.wire.Fields
import io.reedmast.wire.StoreMessages

data class StoredItem(val path: String, val value: Fields, val version: Long) {
    /** The transaction that stored it; null if that cannot be told. */
    val transactionId: String? get() = StoreMessages.transactionId(value)
}

sealed interface ReadResult {
    data class Found(val item: StoredItem) : ReadResult

    data object Missing : ReadResult

    /** Nothing is known: the store did not answer, or would not. */
    data object Failed : ReadResult
}

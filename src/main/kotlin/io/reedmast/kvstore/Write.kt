package io.reedmast.kvstore

import io.reedmast.wire.BodyCodec
import io.reedmast.wire.Fields
import io.reedmast.wire.StoreMessages

/** One write of a transaction. */
sealed interface Write {
    /** The key written. */
    val path: String

    /** Stores [value]; the key is deleted when [lease] expires, if there is one. */
    data class Put(override val path: String, val value: Fields, val lease: Long? = null) : Write {
        /** The size in bytes that the store counts for the value, which includes the transaction's id. */
        fun storedSize(transactionId: String): Int = BodyCodec.jsonSize(StoreMessages.stored(value, transactionId))
    }

    /** Deletes the key. */
    data class Delete(override val path: String) : Write
}

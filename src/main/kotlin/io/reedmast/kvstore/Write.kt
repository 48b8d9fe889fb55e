package io.reedmast.kvstore

import io.reedmast.wire.Fields
import io.reedmast.wire.StoreMessages
import io.reedmast.wire.Tree

/** The condition that a key still has this version; 0: that it does not exist. */
data class Precondition(val path: String, val version: Long)

sealed interface Write {
    val path: String

    data class Put(override val path: String, val value: Fields, val lease: Long? = null) : Write {
        /** What the store counts the value by, with the id of its transaction. */
        fun storedSize(transactionId: String): Int = Tree.jsonSize(StoreMessages.stored(value, transactionId))
    }

    data class Delete(override val path: String) : Write
}

/** What goes first when the store takes fewer changes than there are. */
enum class WritePriority {
    /** A user waits for it: an acceptance, a cancellation. It takes turns with prompt changes. */
    USER,

    /** Work waits for it: a placement, the end of a job, machines. */
    URGENT,

    /** It only saves repeated work, or clears away. */
    DEFERRED,
}

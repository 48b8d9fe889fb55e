package io.reedmast.ports

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.ListResult
import io.reedmast.kvstore.ReadResult

/** The key-value store as decisions use it; each call answers later, on the deciding thread. */
interface KeyValueStore {
    /** False while the store is known not to accept transactions. */
    val isAvailable: Boolean

    /**
     * Queues a transaction. False if it was refused because too many wait already; only a [refusable] one can be. Its
     * own callback gets the outcome once that is certain, and is not called for a transaction that was refused here.
     */
    fun commit(transaction: CasTransaction, refusable: Boolean = false): Boolean

    /** How many writes this controller's part of the store's limit allows now, as a part of a second's worth. */
    fun writePermitLevel(): Double

    /** Reads the key [path]; [done] gets [ReadResult.Failed] if the store did not answer. */
    fun get(path: String, done: (ReadResult) -> Unit)

    /** Reads all keys that begin with [prefix]; [done] gets [ListResult.Failed] if the store did not answer. */
    fun list(prefix: String, done: (ListResult) -> Unit)

    /**
     * Extends [lease], or asks for a new one of [lifeMs] milliseconds if it is null; [done] gets [LeaseState.Unknown]
     * if the store did not answer.
     */
    fun extendLease(lease: Long?, lifeMs: Long, done: (LeaseState) -> Unit)
}

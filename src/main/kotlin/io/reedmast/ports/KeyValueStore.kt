package io.reedmast.ports

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.ListResult
import io.reedmast.kvstore.ReadResult

/**
 * The key-value store as the code on the event loop uses it; each call delivers its result later, on the event loop.
 */
interface KeyValueStore {
    /** False while the store is known not to accept transactions. */
    val isAvailable: Boolean

    /**
     * Queues a transaction. Returns false if it was refused because too many are waiting already, which can happen only
     * to a [refusable] one. The transaction's own callback gets the outcome once that is certain, and is not called for
     * a transaction that was refused here.
     */
    fun commit(transaction: CasTransaction, refusable: Boolean = false): Boolean

    /** The writes that this controller's share of the store's limit allows now, as a fraction of a second's writes. */
    fun writePermitLevel(): Double

    /** Reads the key [path]; [done] gets [ReadResult.Failed] if the store did not answer. */
    fun get(path: String, done: (ReadResult) -> Unit)

    /** Reads all keys that begin with [prefix]; [done] gets [ListResult.Failed] if the store did not answer. */
    fun list(prefix: String, done: (ListResult) -> Unit)

    /**
     * Extends [lease], or requests a new one of [lifeMs] milliseconds if it is null; [done] gets [LeaseState.Unknown]
     * if the store did not answer.
     */
    fun extendLease(lease: Long?, lifeMs: Long, done: (LeaseState) -> Unit)
}

package io.reedmast.rollout

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.ListResult
import io.reedmast.kvstore.ReadResult

/**
 * The operations of the store that the rollout uses: conditional transactions, and reads of the latest values.
 *
 * Results are delivered asynchronously, on the thread that calls the rollout's classes. The outcome of a transaction
 * whose answer was lost is reported only once it is certain whether the transaction was applied.
 */
interface RolloutStore {
    /** Commits the transaction [change], whose own callback receives the outcome. */
    fun commit(change: CasTransaction)

    /** Reads the key [path]; [done] receives [ReadResult.Failed] if the store did not answer. */
    fun get(path: String, done: (ReadResult) -> Unit)

    /** Lists all records whose keys begin with [prefix], in key order. */
    fun list(prefix: String, done: (ListResult) -> Unit)

    /** How many write permits are left, as a fraction of one second's permits. */
    fun writePermitLevel(): Double
}

package io.reedmast.rollout

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.ListResult
import io.reedmast.kvstore.ReadResult

/**
 * The store as the rollout needs it: conditional changes, and reads of the newest values.
 *
 * Results come later, on the thread that calls the rollout's classes. A change whose answer was lost is reported only
 * once it is certain whether it was applied.
 */
interface RolloutStore {
    /** Stores [change], whose own callback gets the outcome. */
    fun commit(change: CasTransaction)

    /** Reads the key [path]; [done] gets [ReadResult.Failed] if the store did not answer. */
    fun get(path: String, done: (ReadResult) -> Unit)

    /** All records whose keys begin with [prefix], in key order. */
    fun list(prefix: String, done: (ListResult) -> Unit)

    /** How much of the budget of changes is left, as a part of a second's worth. */
    fun writePermitLevel(): Double
}

package io.reedmast.rollout

import io.reedmast.state.Change
import io.reedmast.state.Fetched
import io.reedmast.state.Item

/**
 * The state store as the rollout needs it: conditional changes, and reads of the newest values.
 *
 * Results come later, on the thread that calls the rollout's classes. A change whose answer was lost is reported only once it is certain
 * whether it was applied.
 */
interface RolloutStore {
    fun commit(change: Change)

    fun get(path: String, done: (Fetched) -> Unit)

    /** All records whose keys begin with [prefix], in key order; null if they could not be read. */
    fun list(prefix: String, done: (List<Item>?) -> Unit)

    /** How much of the budget of changes is left, as a part of a second's worth. */
    fun writeFullness(): Double
}

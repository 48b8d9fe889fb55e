package io.reedmast.kvstore

import io.reedmast.wire.Fields

/** One change of a key with a watched prefix; a null [value] is a deletion. */
data class WatchEvent(val path: String, val value: Fields?, val version: Long)

/** The result of requesting the changes of keys with a prefix after a revision. */
sealed interface WatchResult {
    /** All changes up to [revision], in order; there may be none. */
    data class Events(val revision: Long, val events: List<WatchEvent>) : WatchResult

    /** The store has dropped the requested changes, or they are too large to be read: the keys must be read again. */
    data object Compacted : WatchResult

    /** Nothing is known: the store did not answer, or refused the request. */
    data object Failed : WatchResult
}

package io.reedmast.kvstore

import io.reedmast.wire.Fields

/** One change of a watched prefix; a null [value] is a deletion. */
data class WatchEvent(val path: String, val value: Fields?, val version: Long)

/** What came of asking for the changes of a prefix after a revision. */
sealed interface WatchResult {
    /** All changes up to [revision], in order; there may be none. */
    data class Events(val revision: Long, val events: List<WatchEvent>) : WatchResult

    /** The store has dropped the changes asked for, or they are too large to be read: read the keys again. */
    data object Compacted : WatchResult

    /** Nothing is known: the store did not answer, or refused to. */
    data object Failed : WatchResult
}

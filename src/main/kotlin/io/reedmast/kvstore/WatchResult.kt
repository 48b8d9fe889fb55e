package io.reedmast.kvstore

import io.reedmast.wire.Fields

/** One change of a watched prefix; a null [value] is a deletion. */
data class WatchEvent(val path: String, val value: Fields?, val version: Long)

sealed interface WatchResult {
    data class Events(val revision: Long, val events: List<WatchEvent>) : WatchResult

    /** The service has dropped the changes asked for: read the keys again. */
    data object Compacted : WatchResult

    data object Failed : WatchResult
}

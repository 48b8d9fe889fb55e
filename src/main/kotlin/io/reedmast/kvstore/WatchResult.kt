package io.reedmast.kvstore

import com.google.common.util.concurrent.RateLimiter
import io.reedmast.wire.Caller
import io.reedmast.wire.Fields
import io.reedmast.wire.KeyedValue
import io.reedmast.wire.MalformedException
import io.reedmast.wire.Reply
import io.reedmast.wire.StoreMessages
import org.slf4j.LoggerFactory
import java.net.URLEncoder
import java.util.concurrent.TimeUnit

/** One change of a watched prefix; a null [value] is a deletion. */
data class WatchEvent(val path: String, val value: Fields?, val version: Long)

sealed interface WatchResult {
    data class Events(val revision: Long, val events: List<WatchEvent>) : WatchResult

    /** The service has dropped the changes asked for: read the keys again. */
    data object Compacted : WatchResult

    data object Failed : WatchResult
}

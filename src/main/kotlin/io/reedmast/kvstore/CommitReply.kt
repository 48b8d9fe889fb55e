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

sealed interface CommitReply {
    data class Applied(val revision: Long) : CommitReply

    data class PreconditionFailed(val paths: Set<String>) : CommitReply

    data class Malformed(val reason: String) : CommitReply

    /** Certainly not executed: worth sending again after a pause. */
    data object NotExecuted : CommitReply

    /** Not executed, for a limit: the service is there, and wants less. */
    data object RateLimited : CommitReply

    /** May have been executed, or may yet be. */
    data object Unknown : CommitReply
}

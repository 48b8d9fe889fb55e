package io.reedmast.kvstore

import com.google.common.util.concurrent.RateLimiter
import io.reedmast.wire.Fields
import io.reedmast.wire.HttpCaller
import io.reedmast.wire.HttpStatus
import io.reedmast.wire.KeyedValue
import io.reedmast.wire.MalformedException
import io.reedmast.wire.Reply
import io.reedmast.wire.StoreMessages
import io.reedmast.wire.StoreReplies
import org.slf4j.LoggerFactory
import java.net.URLEncoder
import java.util.concurrent.TimeUnit

/**
 * Blocking client of the store, which keeps within this controller's share of the store's rate limits. Thread-safe.
 *
 * A failed call is reported in its result, not by an exception; the caller decides whether to repeat it.
 *
 * @param address the store's address, such as `10.0.0.1:8080`.
 * @param controllers how many controllers share the limits initially, see [shareLimits].
 */
class StoreClient(
    private val address: String,
    private val limits: EffectiveLimits,
    controllers: Int,
    private val httpCaller: HttpCaller,
) {
    private val log = LoggerFactory.getLogger("store")
    private val requestLimiter = RateLimiter.create(requestsPerS(controllers))

    /** Limits the rate of writes: a caller of [commit] must first acquire the permits for its writes here. */
    val writeLimiter = WriteRateLimiter(writesPerS(controllers), ::monotonicMs)

    /**
     * Divides the limits among the [controllers] controllers that are alive: those that are down leave their share to
     * the others.
     */
    fun shareLimits(controllers: Int) {
        requestLimiter.rate = requestsPerS(controllers)
        writeLimiter.setRate(writesPerS(controllers))
    }

    private fun requestsPerS(controllers: Int) = limits.allowed.requestsPerS * SAFETY_FACTOR / controllers

    private fun writesPerS(controllers: Int) = limits.allowed.writesPerS * SAFETY_FACTOR / controllers

    /** Reads one key. */
    fun get(path: String): ReadResult {
        val reply = call("GET", "/kv/$path")
        if (reply !is Reply.Answer) return ReadResult.Failed
        return parsed(ReadResult.Failed) {
            when (reply.status) {
                HttpStatus.OK -> ReadResult.Found(storedItem(StoreReplies.item(reply.body)))
                HttpStatus.NOT_FOUND -> ReadResult.Missing
                else -> ReadResult.Failed
            }
        }
    }

    /** Reads all keys with the prefix, page by page. */
    fun list(prefix: String): ListResult {
        var listing = listPage(prefix, previous = null)
        while (listing != null && listing.hasMore) listing = listPage(prefix, listing)
        return if (listing == null) ListResult.Failed else ListResult.Listing(listing.items, listing.revision)
    }

    /** The pages of a listing read so far; [revision] is that of the first one. */
    private class PartialListing(val items: MutableList<StoredItem>, val revision: Long, val hasMore: Boolean)

    /**
     * Reads the page that follows [previous] and returns it with [previous], or the first page if [previous] is null.
     * Null if the page could not be read.
     */
    private fun listPage(prefix: String, previous: PartialListing?): PartialListing? {
        if (previous != null && previous.items.isEmpty()) return null
        val after = if (previous == null) "" else "&after=${encoded(previous.items.last().path)}"
        val reply = call("GET", "/kv?prefix=${encoded(prefix)}$after&most=$ITEMS_PER_PAGE")
        if (reply !is Reply.Answer || reply.status != HttpStatus.OK) return null
        return parsed(null) {
            PartialListing(
                items = StoreReplies.page(reply.body).mapTo(previous?.items ?: ArrayList()) { storedItem(it) },
                revision = previous?.revision ?: StoreReplies.revision(reply.body),
                hasMore = StoreReplies.hasMore(reply.body),
            )
        }
    }

    /** Sends a transaction once; the caller must have acquired the permits for its writes from [writeLimiter]. */
    fun commit(transaction: StoreTransaction): CommitReply {
        val conditions = transaction.preconditions.map { StoreMessages.precondition(it.path, it.version) }
        val body = StoreMessages.transaction(conditions, transaction.writes.map { encoded(it, transaction.id) })
        return when (val reply = call("POST", "/commit", body)) {
            is Reply.NotSent -> CommitReply.NotExecuted
            is Reply.Unanswered, Reply.TooLarge -> CommitReply.Unknown
            is Reply.Answer -> parsed(CommitReply.Unknown) { commitReply(reply) }
        }
    }

    private fun commitReply(reply: Reply.Answer): CommitReply = when (reply.status) {
        HttpStatus.OK -> CommitReply.Applied(StoreReplies.revision(reply.body))
        HttpStatus.CONFLICT -> CommitReply.PreconditionFailed(StoreReplies.failedKeys(reply.body))
        HttpStatus.BAD_REQUEST -> CommitReply.Malformed(StoreReplies.error(reply.body))
        HttpStatus.TOO_MANY_REQUESTS -> CommitReply.RateLimited
        HttpStatus.SERVICE_UNAVAILABLE -> CommitReply.NotExecuted
        else -> CommitReply.Unknown
    }

    /** Requests a new lease that lasts [lifeMs] milliseconds unless it is extended. */
    fun grantLease(lifeMs: Long): LeaseGrant {
        val reply = call("POST", "/leases", StoreMessages.leaseRequest(lifeMs))
        if (reply !is Reply.Answer || reply.status != HttpStatus.OK) return LeaseGrant.Failed
        return parsed(LeaseGrant.Failed) { LeaseGrant.Granted(StoreReplies.leaseId(reply.body)) }
    }

    /** Extends a lease to its full duration again. */
    fun extendLease(lease: Long): LeaseExtension {
        val reply = call("POST", "/leases/$lease/extend")
        if (reply !is Reply.Answer) return LeaseExtension.UNKNOWN
        return when (reply.status) {
            HttpStatus.OK -> LeaseExtension.EXTENDED
            HttpStatus.NOT_FOUND -> LeaseExtension.EXPIRED
            else -> LeaseExtension.UNKNOWN
        }
    }

    /**
     * Returns the changes of keys with a prefix since the revision [after]; waits up to [holdMs] milliseconds for the
     * first of them.
     */
    fun watch(prefix: String, after: Long, holdMs: Int): WatchResult {
        val path = "/follow?prefix=${encoded(prefix)}&after=$after&holdMs=$holdMs"
        return when (val reply = call("GET", path, readTimeoutMs = holdMs + WATCH_GRACE_MS)) {
            // A repeated request would only return more changes. Reading all keys instead returns their current values
            // alone, and page by page.
            is Reply.TooLarge -> WatchResult.Compacted
            is Reply.NotSent, is Reply.Unanswered -> WatchResult.Failed
            is Reply.Answer -> parsed(WatchResult.Failed) { watchResult(reply) }
        }
    }

    private fun watchResult(reply: Reply.Answer): WatchResult = when (reply.status) {
        HttpStatus.OK -> {
            val revision = StoreReplies.revision(reply.body)
            WatchResult.Events(revision, StoreReplies.changes(reply.body).map { watchEvent(it) })
        }

        HttpStatus.GONE -> WatchResult.Compacted

        else -> WatchResult.Failed
    }

    private fun encoded(write: Write, transactionId: String): Fields = when (write) {
        is Write.Put -> StoreMessages.put(write.path, write.value, write.lease, transactionId)
        is Write.Delete -> StoreMessages.delete(write.path)
    }

    private fun encoded(text: String): String = URLEncoder.encode(text, Charsets.UTF_8)

    private fun storedItem(item: KeyedValue) = StoredItem(item.key, item.value.orEmpty(), item.version)

    private fun watchEvent(change: KeyedValue) = WatchEvent(change.key, change.value, change.version)

    private fun call(
        method: String,
        path: String,
        body: Fields? = null,
        readTimeoutMs: Int = httpCaller.readTimeoutMs,
    ): Reply {
        if (!requestLimiter.tryAcquire(MAX_PERMIT_WAIT_MS, TimeUnit.MILLISECONDS)) {
            return Reply.NotSent("over this controller's part of the limit")
        }
        val reply = httpCaller.call(method, address, path, body, readTimeoutMs)
        if (reply !is Reply.Answer || reply.status >= HttpStatus.INTERNAL_SERVER_ERROR) {
            log.debug("{} {}: {}", method, path, reply)
        }
        return reply
    }

    /** Returns the result of [parse] for an answer of the store, or [onMalformed] if the answer is malformed. */
    private inline fun <T> parsed(onMalformed: T, parse: () -> T): T = try {
        parse()
    } catch (e: MalformedException) {
        log.error("store: malformed answer: {}", e.message)
        onMalformed
    }

    private companion object {
        /** Keeps the rates slightly below the limits, because the clocks of the two ends differ. */
        const val SAFETY_FACTOR = 0.9

        /** A request that gets no permit within this time is not sent. */
        const val MAX_PERMIT_WAIT_MS = 1500L

        /** How long to wait for the answer to a watch beyond the time for which the store holds it. */
        const val WATCH_GRACE_MS = 1500
        const val ITEMS_PER_PAGE = 500
    }
}

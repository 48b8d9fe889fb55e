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

/** Blocking calls to the store, kept within this controller's part of its limits. */
class StoreClient(
    private val address: String,
    private val limits: EffectiveLimits,
    nodes: Int,
    private val caller: Caller,
) {
    private val log = LoggerFactory.getLogger("store")
    private val requests = RateLimiter.create(limits.allowed.requestsPerS * SAFETY / nodes)
    val writeLimiter = WriteRateLimiter(limits.allowed.writesPerS * SAFETY / nodes) { System.nanoTime() / 1_000_000 }

    /** Controllers that are down leave their part of the limits to the others. */
    fun shareAmong(nodes: Int) {
        requests.rate = limits.allowed.requestsPerS * SAFETY / nodes
        writeLimiter.setRate(limits.allowed.writesPerS * SAFETY / nodes)
    }

    fun get(path: String): ReadResult {
        val reply = ask("GET", "/kv/$path")
        if (reply !is Reply.Answer) return ReadResult.Failed
        return reading(ReadResult.Failed) {
            when (reply.status) {
                200 -> ReadResult.Found(item(StoreMessages.item(reply.body)))
                404 -> ReadResult.Missing
                else -> ReadResult.Failed
            }
        }
    }

    /** All keys with the prefix and the revision of the first page, or null if they could not be read. */
    fun list(prefix: String): Pair<List<StoredItem>, Long>? {
        val items = ArrayList<StoredItem>()
        var revision = -1L
        var after: String? = null
        while (true) {
            val tail = if (after == null) "" else "&after=${encode(after)}"
            val reply = ask("GET", "/kv?prefix=${encode(prefix)}$tail&most=$PAGE") as? Reply.Answer ?: return null
            if (reply.status != 200) return null
            val more =
                reading(null) {
                    StoreMessages.page(reply.body).mapTo(items) { item(it) }
                    if (revision < 0) revision = StoreMessages.revision(reply.body)
                    StoreMessages.hasMore(reply.body)
                } ?: return null
            if (!more) return items to revision
            after = items.lastOrNull()?.path ?: return null
        }
    }

    fun commit(transaction: StoreTransaction): CommitReply {
        val conditions = transaction.preconditions.map { StoreMessages.condition(it.path, it.version) }
        val body = StoreMessages.transaction(conditions, transaction.writes.map { encoded(it, transaction.id) })
        return when (val reply = ask("POST", "/commit", body)) {
            is Reply.NotSent -> CommitReply.NotExecuted
            is Reply.Unanswered, Reply.TooLarge -> CommitReply.Unknown
            is Reply.Answer ->
                reading<CommitReply>(CommitReply.Unknown) {
                    when (reply.status) {
                        200 -> CommitReply.Applied(StoreMessages.revision(reply.body))
                        409 -> CommitReply.PreconditionFailed(StoreMessages.failedKeys(reply.body))
                        400 -> CommitReply.Malformed(StoreMessages.error(reply.body))
                        429 -> CommitReply.RateLimited
                        503 -> CommitReply.NotExecuted
                        else -> CommitReply.Unknown
                    }
                }
        }
    }

    /** A new lease, or null. */
    fun lease(lifeMs: Long): Long? {
        val reply = ask("POST", "/leases", StoreMessages.leaseRequest(lifeMs)) as? Reply.Answer ?: return null
        return if (reply.status == 200) reading(null) { StoreMessages.lease(reply.body) } else null
    }

    /** True: renewed. False: the lease has ended. Null: not known. */
    fun extend(lease: Long): Boolean? {
        val reply = ask("POST", "/leases/$lease/extend") as? Reply.Answer ?: return null
        return when (reply.status) {
            200 -> true
            404 -> false
            else -> null
        }
    }

    fun follow(prefix: String, after: Long, holdMs: Int): WatchResult {
        val reply = ask(
            "GET",
            "/follow?prefix=${encode(prefix)}&after=$after&holdMs=$holdMs",
            scaleInDelayMs =
            holdMs + FOLLOW_GRACE_MS,
        )
        // Asked again, it would only have grown: reading all keys takes their present values alone, page by page.
        if (reply is Reply.TooLarge) return WatchResult.Compacted
        if (reply !is Reply.Answer) return WatchResult.Failed
        return reading<WatchResult>(WatchResult.Failed) {
            when (reply.status) {
                200 ->
                    WatchResult.Events(
                        StoreMessages.revision(reply.body),
                        StoreMessages.changes(reply.body).map { WatchEvent(it.key, it.value, it.version) },
                    )
                410 -> WatchResult.Compacted
                else -> WatchResult.Failed
            }
        }
    }

    private fun encoded(write: Write, transactionId: String): Fields = when (write) {
        is Write.Put -> StoreMessages.put(write.path, write.value, write.lease, transactionId)
        is Write.Delete -> StoreMessages.delete(write.path)
    }

    private fun item(of: KeyedValue) = StoredItem(of.key, of.value.orEmpty(), of.version)

    private fun ask(method: String, path: String, body: Fields? = null, scaleInDelayMs: Int? = null): Reply {
        if (!requests.tryAcquire(
                PATIENCE_MS,
                TimeUnit.MILLISECONDS,
            )
        ) {
            return Reply.NotSent("over this controller's part of the limit")
        }
        val reply =
            if (scaleInDelayMs ==
                null
            ) {
                caller.call(method, address, path, body)
            } else {
                caller.call(method, address, path, body, scaleInDelayMs)
            }
        if (reply !is Reply.Answer || reply.status >= 500) log.debug("{} {}: {}", method, path, reply)
        return reply
    }

    private inline fun <T> reading(nonsense: T, read: () -> T): T = try {
        read()
    } catch (e: MalformedException) {
        log.error("store: malformed answer: {}", e.message)
        nonsense
    }

    private fun encode(text: String): String = URLEncoder.encode(text, Charsets.UTF_8)

    private companion object {
        /** A little below the limits: the clocks of the two ends differ. */
        const val SAFETY = 0.9
        const val PATIENCE_MS = 1500L
        const val FOLLOW_GRACE_MS = 1500
        const val PAGE = 500
    }
}

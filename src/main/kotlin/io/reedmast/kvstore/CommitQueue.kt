package io.reedmast.kvstore

import io.reedmast.settings.StoreLimits
import java.util.ArrayDeque

/**
 * Holds the transactions that wait to be sent, and decides which are sent together next. Not thread-safe.
 *
 * @param limits the limits that one batch must fit.
 * @param writeLimiter grants the permits for all writes that [poll] returns.
 * @param maxQueued a refusable transaction is refused while this many of its priority are waiting.
 * @param nowMs a monotonic clock, in milliseconds.
 */
class CommitQueue(
    private val limits: StoreLimits,
    private val writeLimiter: WriteRateLimiter,
    private val maxQueued: Int,
    private val nowMs: () -> Long,
) {
    /** The result of [poll]. */
    sealed interface Polled {
        /** Transactions that fit into one [StoreTransaction]; the permits for their writes have been acquired. */
        data class Batch(val transactions: List<CasTransaction>) : Polled

        /** The write limiter allows none of the waiting transactions for this many milliseconds. */
        data class Wait(val forMs: Long) : Polled

        /** No transaction is waiting. */
        data object Empty : Polled
    }

    private class Queued(val transaction: CasTransaction, val queuedAtMs: Long)

    /** A queue that the next batch may come from, and the priority with which permits for its writes are acquired. */
    private class Candidate(val queue: ArrayDeque<Queued>, val limiterPriority: WritePriority)

    private val queues = WritePriority.entries.map { ArrayDeque<Queued>() }
    private val userQueue = queues[WritePriority.USER.ordinal]
    private val urgentQueue = queues[WritePriority.URGENT.ordinal]
    private val deferredQueue = queues[WritePriority.DEFERRED.ordinal]
    private var batchCount = 0L

    /** How many batches of users' transactions have been sent since the last batch of another priority. */
    private var consecutiveUserBatches = 0

    /** Returns false if the queue is full; only transactions that users request may be [refusable]. */
    fun offer(transaction: CasTransaction, refusable: Boolean): Boolean {
        val queue = queues[transaction.writePriority.ordinal]
        if (refusable && queue.size >= maxQueued) return false
        queue.add(Queued(transaction, nowMs()))
        return true
    }

    /** Removes and returns the next batch: as many transactions of one priority as can be sent together. */
    fun poll(): Polled {
        var shortestWaitMs = Long.MAX_VALUE
        for (candidate in candidates()) {
            val waitMs = acquirePermits(candidate.queue.peek().transaction, candidate)
            if (waitMs == 0L) return Polled.Batch(nextBatch(candidate))
            shortestWaitMs = minOf(shortestWaitMs, waitMs)
        }
        return if (shortestWaitMs == Long.MAX_VALUE) Polled.Empty else Polled.Wait(shortestWaitMs)
    }

    private fun acquirePermits(transaction: CasTransaction, candidate: Candidate): Long =
        writeLimiter.tryAcquire(transaction.writes.size, candidate.limiterPriority)

    /** The candidate's first transaction, whose permits have been acquired, with those that can be sent with it. */
    private fun nextBatch(candidate: Candidate): List<CasTransaction> {
        batchCount++
        consecutiveUserBatches = if (candidate.queue === userQueue) consecutiveUserBatches + 1 else 0
        val queue = candidate.queue
        val batch = TransactionBatch(limits)
        do {
            batch.add(queue.poll().transaction)
            val next = queue.peek()?.transaction
        } while (next != null && batch.accepts(next) && acquirePermits(next, candidate) == 0L)
        return batch.transactions
    }

    /**
     * The queues to try next, in order. Users' transactions come first, since users wait for them. But urgent ones that
     * have waited behind [MAX_CONSECUTIVE_USER_BATCHES] batches of them come next, and may use the permits that the
     * limiter reserves for users: a burst of submissions must not delay the placements of accepted jobs.
     */
    private fun candidates(): List<Candidate> = when {
        batchCount % OVERDUE_BATCH_INTERVAL == 0L && isDeferredOverdue() ->
            listOf(Candidate(deferredQueue, WritePriority.URGENT))

        urgentQueue.isNotEmpty() && consecutiveUserBatches >= MAX_CONSECUTIVE_USER_BATCHES ->
            listOf(Candidate(urgentQueue, WritePriority.USER))

        else -> candidatesByPriority()
    }

    /** Users' transactions, then urgent ones; deferred ones only while no others are waiting. */
    private fun candidatesByPriority(): List<Candidate> {
        val candidates = ArrayList<Candidate>(2)
        if (userQueue.isNotEmpty()) candidates.add(Candidate(userQueue, WritePriority.USER))
        if (urgentQueue.isNotEmpty()) candidates.add(Candidate(urgentQueue, WritePriority.URGENT))
        if (candidates.isEmpty() && deferredQueue.isNotEmpty()) {
            candidates.add(Candidate(deferredQueue, WritePriority.DEFERRED))
        }
        return candidates
    }

    /**
     * Whether a deferred transaction has waited so long that every eighth batch goes to deferred ones, even if urgent
     * ones never stop coming. A progress page that waits to be stored with deferred priority accepts no new placements,
     * and their jobs would wait with it. When all overdue transactions were sent before the urgent ones, a slow store
     * had capacity for only a third of the acceptances.
     */
    private fun isDeferredOverdue(): Boolean {
        val oldest = deferredQueue.peek() ?: return false
        return nowMs() - oldest.queuedAtMs > MAX_DEFERRED_WAIT_MS
    }

    private companion object {
        /** A deferred transaction that has waited longer than this behind urgent ones is overdue. */
        const val MAX_DEFERRED_WAIT_MS = 4_000L

        /** One batch in this many goes to deferred transactions, if one is overdue. */
        const val OVERDUE_BATCH_INTERVAL = 8L
        const val MAX_CONSECUTIVE_USER_BATCHES = 2
    }
}

package io.reedmast.kvstore

import io.reedmast.settings.StoreLimits
import java.util.ArrayDeque

/**
 * Transactions that wait for the store, and which of them are sent together next. Not thread-safe.
 *
 * @param limits what one batch has to fit.
 * @param writeLimiter pays for every write that [poll] hands out.
 * @param maxQueued a refusable transaction is refused when so many of its priority wait.
 * @param nowMs a monotonic clock, in milliseconds.
 */
class CommitQueue(
    private val limits: StoreLimits,
    private val writeLimiter: WriteRateLimiter,
    private val maxQueued: Int,
    private val nowMs: () -> Long,
) {
    /** What [poll] found. */
    sealed interface Polled {
        /** The permits of these transactions are acquired, and they fit one [StoreTransaction]. */
        data class Batch(val transactions: List<CasTransaction>) : Polled

        /** The write limiter allows none of the waiting transactions for this many milliseconds. */
        data class Wait(val forMs: Long) : Polled

        /** Nothing waits. */
        data object Empty : Polled
    }

    private class Queued(val transaction: CasTransaction, val queuedAtMs: Long)

    /** A queue that may go next, and the priority by which the write limiter is asked for its transactions. */
    private class Candidate(val queue: ArrayDeque<Queued>, val limiterPriority: WritePriority)

    private val queues = WritePriority.entries.map { ArrayDeque<Queued>() }
    private val userQueue = queues[WritePriority.USER.ordinal]
    private val urgentQueue = queues[WritePriority.URGENT.ordinal]
    private val deferredQueue = queues[WritePriority.DEFERRED.ordinal]
    private var batchCount = 0L

    /** How many batches of users' transactions have gone since the last one of another priority. */
    private var userBatchesInARow = 0

    /** False if the queue is full; only transactions asked for from outside may be [refusable]. */
    fun offer(transaction: CasTransaction, refusable: Boolean): Boolean {
        val queue = queues[transaction.writePriority.ordinal]
        if (refusable && queue.size >= maxQueued) return false
        queue.add(Queued(transaction, nowMs()))
        return true
    }

    /** Removes what goes out next: as many transactions of one priority as fit together. */
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

    /** The first transaction of the candidate, whose permits are acquired, with those that can go with it. */
    private fun nextBatch(candidate: Candidate): List<CasTransaction> {
        batchCount++
        userBatchesInARow = if (candidate.queue === userQueue) userBatchesInARow + 1 else 0
        val queue = candidate.queue
        val batch = TransactionBatch(limits)
        do {
            batch.add(queue.poll().transaction)
            val next = queue.peek()?.transaction
        } while (next != null && batch.accepts(next) && acquirePermits(next, candidate) == 0L)
        return batch.transactions
    }

    /**
     * Users' transactions first, since users wait; but when urgent ones have waited behind some of them, those go next,
     * whatever the limiter reserves for users: a burst of submissions must not hold up the placements of what was
     * accepted.
     */
    private fun candidates(): List<Candidate> = when {
        batchCount % OVERDUE_TURN == 0L && isDeferredOverdue() ->
            listOf(Candidate(deferredQueue, WritePriority.URGENT))

        urgentQueue.isNotEmpty() && userBatchesInARow >= MAX_USER_BATCHES_IN_A_ROW ->
            listOf(Candidate(urgentQueue, WritePriority.USER))

        else -> candidatesByPriority()
    }

    /** Users' and urgent transactions side by side; deferred ones only when no other waits. */
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
     * Under a load in which urgent transactions never end, deferred ones that have waited for long get every eighth
     * batch: a page that waits to be stored as deferred accepts no new placements, and their jobs would wait with it.
     * When all overdue ones went before the urgent ones, a slow store had capacity for only a third of the acceptances.
     */
    private fun isDeferredOverdue(): Boolean {
        val oldest = deferredQueue.peek() ?: return false
        return nowMs() - oldest.queuedAtMs > DEFERRED_MAX_MS
    }

    private companion object {
        /** How long a deferred transaction waits behind urgent ones at most. */
        const val DEFERRED_MAX_MS = 4_000L

        /** One batch in so many goes to an overdue deferred transaction. */
        const val OVERDUE_TURN = 8L
        const val MAX_USER_BATCHES_IN_A_ROW = 2
    }
}

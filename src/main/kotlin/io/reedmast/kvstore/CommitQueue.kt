package io.reedmast.kvstore

import io.reedmast.settings.StoreLimits
import io.reedmast.wire.Tree
import java.util.ArrayDeque

/** Changes that wait for the store, and which of them share the next transaction. Not thread-safe. */
class CommitQueue(
    private val limits: StoreLimits,
    private val writeLimiter: WriteRateLimiter,
    private val maxQueued: Int,
    private val nowMs: () -> Long,
) {
    /** What [poll] found. */
    sealed interface Polled {
        /** These changes are paid for from the budget and share one transaction. */
        data class Batch(val changes: List<CasTransaction>) : Polled

        /** The budget allows none of the waiting changes for this long. */
        data class Wait(val forMs: Long) : Polled

        data object Empty : Polled
    }

    private class Queued(val change: CasTransaction, val since: Long)

    private var batches = 0L
    private val queues = WritePriority.entries.map { ArrayDeque<Queued>() }
    private val users = queues[WritePriority.USER.ordinal]

    /** How many batches of users' changes have gone since the last one of work. */
    private var usersInARow = 0

    /** False if the queue is full; only changes asked for from outside may be refused. */
    fun offer(change: CasTransaction, refusable: Boolean): Boolean {
        val queue = queues[change.writePriority.ordinal]
        if (refusable && queue.size >= maxQueued) return false
        queue.add(Queued(change, nowMs()))
        return true
    }

    /** Changes that may go next, and the priority by which the budget is asked for them. */
    private class Candidate(val queue: ArrayDeque<Queued>, val priority: WritePriority)

    /** Takes what goes out next, as many changes of a kind as fit one transaction. */
    fun poll(): Polled {
        var shortestWait = Long.MAX_VALUE
        for (candidate in candidates()) {
            val wait = writeLimiter.tryAcquire(candidate.queue.peek().change.writes.size, candidate.priority)
            if (wait == 0L) return Polled.Batch(batchOf(candidate))
            shortestWait = minOf(shortestWait, wait)
        }
        return if (shortestWait == Long.MAX_VALUE) Polled.Empty else Polled.Wait(shortestWait)
    }

    private fun batchOf(candidate: Candidate): List<CasTransaction> {
        batches++
        usersInARow = if (candidate.queue === users) usersInARow + 1 else 0
        val queue = candidate.queue
        val batch = Batch(limits).apply { add(queue.poll().change) }
        while (true) {
            val next = queue.peek()?.change ?: break
            if (!batch.accepts(next) || writeLimiter.tryAcquire(next.writes.size, candidate.priority) > 0L) break
            batch.add(queue.poll().change)
        }
        return batch.changes
    }

    /**
     * Users' changes first, since users wait; but when work has waited behind some of them, it goes next, whatever the
     * budget keeps for users: a burst of submissions must not hold up the placements of what was accepted.
     */
    private fun candidates(): List<Candidate> {
        val deferred = queues[WritePriority.DEFERRED.ordinal]
        if (batches % OVERDUE_TURN == 0L &&
            deferred.isOverdue()
        ) {
            return listOf(Candidate(deferred, WritePriority.URGENT))
        }
        val urgent = queues[WritePriority.URGENT.ordinal]
        if (urgent.isNotEmpty() &&
            usersInARow >= MAX_USER_BATCHES_IN_A_ROW
        ) {
            return listOf(Candidate(urgent, WritePriority.USER))
        }
        val found = ArrayList<Candidate>(2)
        if (users.isNotEmpty()) found.add(Candidate(users, WritePriority.USER))
        if (urgent.isNotEmpty()) found.add(Candidate(urgent, WritePriority.URGENT))
        if (found.isEmpty() && deferred.isNotEmpty()) found.add(Candidate(deferred, WritePriority.DEFERRED))
        return found
    }

    /**
     * Under a load that never lets the prompt ones end, what has waited for long gets every eighth transaction: a page
     * that is waiting to be stored lazily takes up no new placements, and their jobs would wait with it. With all of
     * them before the prompt ones, a slow store left a third of the acceptances.
     */
    private fun ArrayDeque<Queued>.isOverdue(): Boolean =
        peek()?.let { it.change.writePriority == WritePriority.DEFERRED && nowMs() - it.since > DEFERRED_MAX_MS }
            ?: false

    /** Changes that can share a transaction. */
    private class Batch(private val limits: StoreLimits) {
        val changes = ArrayList<CasTransaction>()
        private var ops = 0
        private var bytes = 0
        private val preconditions = HashMap<String, Long>()
        private val written = HashSet<String>()

        private fun size(change: CasTransaction) =
            change.writes.sumOf { if (it is Write.Put) Tree.jsonSize(it.value) + it.path.length else it.path.length } +
                change.preconditions.size * PRECONDITION_BYTES

        /** Two changes that disagree about a key, or write the same one, cannot share a transaction. */
        fun accepts(next: CasTransaction): Boolean {
            val newPreconditions = next.preconditions.count { it.path !in preconditions }
            if (ops + next.writes.size > limits.opsPerCommit ||
                preconditions.size + newPreconditions > limits.opsPerCommit * 4
            ) {
                return false
            }
            val clash =
                next.preconditions.any { g -> preconditions[g.path]?.let { it != g.version } ?: false } ||
                    next.preconditions.any { it.path in written } ||
                    next.writes.any { it.path in preconditions }
            return !clash && bytes + size(next) <= MAX_BYTES
        }

        fun add(change: CasTransaction) {
            changes.add(change)
            ops += change.writes.size
            bytes += size(change)
            change.preconditions.forEach { preconditions[it.path] = it.version }
            change.writes.forEach { written.add(it.path) }
        }
    }

    private companion object {
        const val MAX_BYTES = 56 * 1024
        const val PRECONDITION_BYTES = 80

        /** How long a lazy change waits behind prompt ones at the most. */
        const val DEFERRED_MAX_MS = 4_000L
        const val OVERDUE_TURN = 8L
        const val MAX_USER_BATCHES_IN_A_ROW = 2
    }
}

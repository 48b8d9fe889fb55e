package io.reedmast.state

import io.reedmast.settings.StateLimits
import io.reedmast.wire.Tree
import java.util.ArrayDeque

/** Changes that wait for the state service, and which of them share the next transaction. Not thread-safe. */
class CommitQueue(private val limits: StateLimits, private val budget: WriteBudget, private val maxQueued: Int, private val nowMs: () -> Long) {
    /** What [poll] found. */
    sealed interface Polled {
        /** These changes are paid for from the budget and share one transaction. */
        data class Batch(val changes: List<Change>) : Polled

        /** The budget allows none of the waiting changes for this long. */
        data class Wait(val forMs: Long) : Polled

        data object Empty : Polled
    }

    private class Queued(val change: Change, val since: Long)

    private var batches = 0L
    private val queues = WritePriority.entries.map { ArrayDeque<Queued>() }
    private val users = queues[WritePriority.USER.ordinal]

    /** How many batches of users' changes have gone since the last one of work. */
    private var usersInARow = 0

    /** False if the queue is full; only changes asked for from outside may be refused. */
    fun offer(change: Change, refusable: Boolean): Boolean {
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
            val wait = budget.take(candidate.queue.peek().change.writes.size, candidate.priority)
            if (wait == 0L) return Polled.Batch(batchOf(candidate))
            shortestWait = minOf(shortestWait, wait)
        }
        return if (shortestWait == Long.MAX_VALUE) Polled.Empty else Polled.Wait(shortestWait)
    }

    private fun batchOf(candidate: Candidate): List<Change> {
        batches++
        usersInARow = if (candidate.queue === users) usersInARow + 1 else 0
        val queue = candidate.queue
        val batch = Batch(limits).apply { add(queue.poll().change) }
        while (true) {
            val next = queue.peek()?.change ?: break
            if (!batch.accepts(next) || budget.take(next.writes.size, candidate.priority) > 0L) break
            batch.add(queue.poll().change)
        }
        return batch.changes
    }

    /**
     * Users' changes first, since users wait; but when work has waited behind some of them, it goes next, whatever the budget keeps for
     * users: a burst of submissions must not hold up the placements of what was accepted.
     */
    private fun candidates(): List<Candidate> {
        val lazy = queues[WritePriority.LAZY.ordinal]
        if (batches % OVERDUE_EACH == 0L && lazy.isOverdue()) return listOf(Candidate(lazy, WritePriority.PROMPT))
        val prompt = queues[WritePriority.PROMPT.ordinal]
        if (prompt.isNotEmpty() && usersInARow >= MOST_USERS_IN_A_ROW) return listOf(Candidate(prompt, WritePriority.USER))
        val found = ArrayList<Candidate>(2)
        if (users.isNotEmpty()) found.add(Candidate(users, WritePriority.USER))
        if (prompt.isNotEmpty()) found.add(Candidate(prompt, WritePriority.PROMPT))
        if (found.isEmpty() && lazy.isNotEmpty()) found.add(Candidate(lazy, WritePriority.LAZY))
        return found
    }

    /**
     * Under a load that never lets the prompt ones end, what has waited for long gets every eighth transaction: a page that is
     * waiting to be stored lazily takes up no new placements, and their jobs would wait with it. With all of them before the prompt
     * ones, a slow state service left a third of the acceptances.
     */
    private fun ArrayDeque<Queued>.isOverdue(): Boolean = peek()?.let { it.change.writePriority == WritePriority.LAZY && nowMs() - it.since > LAZY_MS } ?: false

    /** Changes that can share a transaction. */
    private class Batch(private val limits: StateLimits) {
        val changes = ArrayList<Change>()
        private var ops = 0
        private var bytes = 0
        private val guards = HashMap<String, Long>()
        private val written = HashSet<String>()

        private fun size(change: Change) =
            change.writes.sumOf { if (it is Write.Put) Tree.jsonSize(it.value) + it.path.length else it.path.length } + change.guards.size * GUARD_BYTES

        /** Two changes that disagree about a key, or write the same one, cannot share a transaction. */
        fun accepts(next: Change): Boolean {
            val newGuards = next.guards.count { it.path !in guards }
            if (ops + next.writes.size > limits.opsPerCommit || guards.size + newGuards > limits.opsPerCommit * 4) return false
            val clash =
                next.guards.any { g -> guards[g.path]?.let { it != g.version } ?: false } || next.guards.any { it.path in written } ||
                    next.writes.any { it.path in guards }
            return !clash && bytes + size(next) <= MAX_BYTES
        }

        fun add(change: Change) {
            changes.add(change)
            ops += change.writes.size
            bytes += size(change)
            change.guards.forEach { guards[it.path] = it.version }
            change.writes.forEach { written.add(it.path) }
        }
    }

    private companion object {
        const val MAX_BYTES = 56 * 1024
        const val GUARD_BYTES = 80

        /** How long a lazy change waits behind prompt ones at the most. */
        const val LAZY_MS = 4_000L
        const val OVERDUE_EACH = 8L
        const val MOST_USERS_IN_A_ROW = 2
    }
}

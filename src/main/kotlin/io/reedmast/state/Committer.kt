package io.reedmast.state

import io.reedmast.settings.StateLimits
import io.reedmast.wire.Tree
import org.slf4j.LoggerFactory
import java.util.ArrayDeque
import java.util.concurrent.ThreadLocalRandom

/**
 * Sends changes to the state service, several in one transaction where they fit.
 *
 * A change stays here until what became of it is certain. One that got no answer is sent again as it was: its guards
 * keep it from being applied twice, and if the second copy fails, the keys are read to see whether the first copy had
 * been applied.
 */
class Committer(private val client: StateClient, private val limits: StateLimits, private val maxQueued: Int, private val deliver: (Change, Outcome) -> Unit) {
    private val budget = client.budget
    private val log = LoggerFactory.getLogger("state")
    private val lock = Object()
    private val queues = WritePriority.entries.map { ArrayDeque<Change>() }

    @Volatile
    private var lastAnswered = true

    /** False while the state service does not take changes: new submissions need not wait to find out. */
    val answering: Boolean get() = lastAnswered

    /** False if the queue is full; only changes asked for from outside may be refused. */
    fun offer(change: Change, refusable: Boolean): Boolean {
        synchronized(lock) {
            val queue = queues[change.writePriority.ordinal]
            if (refusable && queue.size >= maxQueued) return false
            queue.add(change)
            lock.notify()
        }
        return true
    }

    /** The body of a committing thread. */
    fun run() {
        while (!Thread.currentThread().isInterrupted) settle(takeBatch())
    }

    /** What goes out next, paid for from the budget: prompt changes first, as many as fit one transaction. */
    private fun takeBatch(): List<Change> {
        synchronized(lock) {
            while (true) {
                val queue = queues.firstOrNull { it.isNotEmpty() }
                if (queue == null) {
                    lock.wait()
                    continue
                }
                val first = queue.peek()
                val wait = budget.take(first.writes.size, first.writePriority)
                if (wait > 0L) {
                    lock.wait(wait)
                    continue
                }
                queue.poll()
                val batch = Batch(limits).apply { add(first) }
                while (true) {
                    val next = queue.peek() ?: break
                    if (!batch.accepts(next) || budget.take(next.writes.size, next.writePriority) > 0L) break
                    batch.add(queue.poll())
                }
                return batch.changes
            }
        }
    }

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

    private fun settle(first: List<Change>) {
        var batch = first
        var unsure = false
        var pause = FIRST_PAUSE_MS
        while (batch.isNotEmpty()) {
            val guards = batch.flatMap { it.guards }.distinct()
            val reply = client.commit(guards, batch.flatMap { it.writes })
            when (reply) {
                is CommitReply.Applied -> {
                    lastAnswered = true
                    batch.forEach { deliver(it, Outcome.Applied(reply.revision)) }
                    return
                }

                is CommitReply.Failed -> {
                    lastAnswered = true
                    if (unsure) {
                        val revision = appliedBefore(batch)
                        if (revision == null) {
                            Thread.sleep(pause)
                            continue
                        }
                        if (revision > 0) {
                            batch.forEach { deliver(it, Outcome.Applied(revision)) }
                            return
                        }
                    }
                    val (failed, rest) = batch.partition { change -> change.guards.any { it.path in reply.paths } }
                    failed.forEach { change -> deliver(change, Outcome.Conflict(reply.paths)) }
                    if (failed.isEmpty()) {
                        log.error("the state service refused a transaction without naming one of its keys")
                        batch.forEach { deliver(it, Outcome.Conflict(reply.paths)) }
                        return
                    }
                    batch = rest
                    unsure = false
                }

                is CommitReply.Bad -> {
                    lastAnswered = true
                    log.info("the state service finds a transaction malformed: {}", reply.reason)
                    if (batch.size == 1) {
                        deliver(batch[0], Outcome.Refused(reply.reason))
                        return
                    }
                    batch.forEach { settle(listOf(it)) }
                    return
                }

                is CommitReply.Limited -> {
                    // Sent again hot, it would only keep the limit exceeded.
                    budget.empty()
                    Thread.sleep(pause + ThreadLocalRandom.current().nextLong(pause))
                    pause = minOf(pause * 2, MAX_PAUSE_MS)
                }

                is CommitReply.NotExecuted, is CommitReply.Unknown -> {
                    if (reply is CommitReply.Unknown) unsure = true
                    lastAnswered = false
                    Thread.sleep(pause / 2 + ThreadLocalRandom.current().nextLong(pause / 2 + 1))
                    pause = minOf(pause * 2, MAX_PAUSE_MS)
                }
            }
        }
    }

    /** After a missing answer and a failed repeat: the revision of the first copy, 0 if it was not applied, null if unknown. */
    private fun appliedBefore(batch: List<Change>): Long? {
        // A put shows by its version when it was applied; a deletion only shows that it was.
        val writes = batch.flatMap { it.writes }
        val write = writes.firstOrNull { it is Write.Put } ?: writes.first()
        return when (val now = client.get(write.path)) {
            is Fetched.Failed -> null
            is Fetched.Missing -> if (write is Write.Delete) 1L else 0L
            is Fetched.Found -> if (write is Write.Put && sameValue(write.value, now.item.value)) now.item.version else 0L
        }
    }

    private companion object {
        const val MAX_BYTES = 56 * 1024
        const val GUARD_BYTES = 80
        const val FIRST_PAUSE_MS = 50L
        const val MAX_PAUSE_MS = 800L
    }
}

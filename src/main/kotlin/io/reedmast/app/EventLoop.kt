package io.reedmast.app

import io.reedmast.ports.Clock
import org.slf4j.LoggerFactory
import java.util.ArrayDeque

/** What is done first when there is more to do than can be done. */
enum class EventPriority {
    /** Heartbeats of workers, whose leases depend on the answers. */
    HEARTBEAT,

    /** Results of the controller's own calls, watches and confirmations between controllers. */
    INTERNAL,

    /** Requests of users, and what is for display only. */
    USER_REQUEST,
}

/**
 * Where all deciding is done, one piece of work at a time, and its queues: one for each [EventPriority], the most urgent
 * first.
 *
 * All state of the service is touched here alone. A thread that comes while nothing is being decided does its work
 * itself; otherwise the work is queued, and the deciding thread, which also runs the periodic duties, does it. Handed
 * over each time, a heartbeat cost a dozen calls of the system for waking threads, which was most of its processor
 * time.
 *
 * Queues for what comes from outside are bounded; results of the controller's own calls are not refused, since the
 * calls themselves are bounded.
 */
class EventLoop(private val clock: Clock, private val maxQueued: Int) {
    private val log = LoggerFactory.getLogger("event-loop")
    private val lock = Object()
    private val queues = EventPriority.entries.map { ArrayDeque<() -> Unit>() }
    private var deciding = false
    private var queued = 0

    /** Messages since the last periodic run. */
    private var messages = 0
    private var nextRunAt = clock.now()

    /** How often work was taken from the queues. */
    private var polls = 0

    /**
     * Does [work], or queues it if other work is being done or waits. False if there is too much to do already: [work]
     * is then never done.
     */
    fun offer(priority: EventPriority, work: () -> Unit): Boolean = enqueue(priority, work, maxQueued)

    /** Does or queues [work], a result that the controller has waited for; it is never refused. */
    fun post(work: () -> Unit) {
        enqueue(EventPriority.INTERNAL, work, Int.MAX_VALUE)
    }

    /** What becomes of work that a thread brings. */
    private enum class Admission { DO_NOW, QUEUED, REFUSED }

    private fun enqueue(priority: EventPriority, work: () -> Unit, maxQueued: Int): Boolean {
        val admission = synchronized(lock) { admit(queues[priority.ordinal], work, maxQueued) }
        if (admission == Admission.DO_NOW) decide(work)
        return admission != Admission.REFUSED
    }

    private fun admit(queue: ArrayDeque<() -> Unit>, work: () -> Unit, maxQueued: Int): Admission {
        messages++
        val isIdle = !deciding && queued == 0 && clock.now() < nextRunAt
        return when {
            isIdle -> {
                deciding = true
                Admission.DO_NOW
            }

            queue.size >= maxQueued -> Admission.REFUSED

            else -> {
                queue.add(work)
                queued++
                if (!deciding) lock.notify()
                Admission.QUEUED
            }
        }
    }

    private fun decide(work: () -> Unit) {
        try {
            work()
        } catch (e: RuntimeException) {
            // One message that cannot be handled must not stop the controller: say so, and go on with the next.
            log.error("event loop: a task failed", e)
        } finally {
            synchronized(lock) {
                deciding = false
                if (queued > 0 || clock.now() >= nextRunAt) lock.notify()
            }
        }
    }

    /**
     * The body of the deciding thread: runs [runOnce] every [intervalMs], or every [idleIntervalMs] while no messages
     * come.
     *
     * A run costs little; forty of them a second through a quiet hour, in three processes, cost more than the work
     * did. Both intervals are in milliseconds; the thread ends when it is interrupted.
     */
    fun run(intervalMs: Long, idleIntervalMs: Long, runOnce: () -> Unit) {
        while (!Thread.currentThread().isInterrupted) {
            decide(next(intervalMs, idleIntervalMs) ?: runOnce)
        }
    }

    /**
     * Waits for the most urgent work, or returns null when the periodic run is due. No other thread decides until the
     * caller has run it.
     */
    private fun next(intervalMs: Long, idleIntervalMs: Long): (() -> Unit)? {
        synchronized(lock) {
            while (true) {
                val wait = nextRunAt - clock.now()
                if (!deciding) {
                    val work = pollQueues(wait <= 0)
                    if (work != null || wait <= 0) {
                        deciding = true
                        if (work == null) {
                            nextRunAt = clock.now() + if (messages > 0) intervalMs else idleIntervalMs
                            messages = 0
                        }
                        return work
                    }
                }
                // With the periodic run due, the end of what another thread decides wakes this one.
                lock.wait(maxOf(wait, 0L))
            }
        }
    }

    private fun pollQueues(runDue: Boolean): (() -> Unit)? {
        if (queued == 0) return null
        val candidates = when {
            // Now and then the last come first: under lasting overload no question of a user would be answered at all.
            ++polls % POLLS_PER_REVERSAL == 0 -> queues.asReversed()

            // The periodic run is a decision, and comes before those that wait.
            runDue -> listOf(queues[EventPriority.HEARTBEAT.ordinal])

            else -> queues
        }
        val work = candidates.firstNotNullOfOrNull { it.poll() } ?: return null
        queued--
        return work
    }

    private companion object {
        /** Every so many polls the queues are looked through from the least urgent one. */
        const val POLLS_PER_REVERSAL = 8
    }
}

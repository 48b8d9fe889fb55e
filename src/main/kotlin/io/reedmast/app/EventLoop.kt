package io.reedmast.app

import io.reedmast.ports.Clock
import org.slf4j.LoggerFactory
import java.util.ArrayDeque

/** Which events are handled first when there are more than can be handled, in descending order. */
enum class EventPriority {
    /** Heartbeats of workers, whose leases depend on the answers. */
    HEARTBEAT,

    /** Results of the controller's own calls, results of its watches, and confirmations between controllers. */
    INTERNAL,

    /** Requests of users, and messages that are only for display. */
    USER_REQUEST,
}

/**
 * Handles all events of a controller one at a time, from one queue for each [EventPriority], highest priority first.
 *
 * All state of the service is accessed only here. A thread that brings an event while the loop is idle handles it
 * itself. Otherwise the event is queued and handled by the event-loop thread, which also does the periodic run. Passing
 * every heartbeat to that thread cost a dozen system calls to wake threads, most of the processor time of a heartbeat.
 *
 * The queues for events from outside are bounded. Results of the controller's own calls are never refused, since the
 * calls themselves are bounded.
 */
class EventLoop(private val clock: Clock, private val maxQueued: Int) {
    private val log = LoggerFactory.getLogger("event-loop")
    private val lock = Object()
    private val queues = EventPriority.entries.map { ArrayDeque<() -> Unit>() }
    private var isBusy = false
    private var queued = 0

    /** Events since the last periodic run, including refused ones. */
    private var eventsSinceRun = 0
    private var nextRunAt = clock.now()

    /** How often an event was taken from the queues. */
    private var dequeues = 0

    /**
     * Runs [handler], or queues it if the loop is busy, other events wait or the periodic run is due. False if the
     * queue is full: [handler] is then never run.
     */
    fun offer(priority: EventPriority, handler: () -> Unit): Boolean = enqueue(priority, handler, maxQueued)

    /** Runs or queues [handler], which handles the result of one of the controller's own calls; it is never refused. */
    fun post(handler: () -> Unit) {
        enqueue(EventPriority.INTERNAL, handler, Int.MAX_VALUE)
    }

    /** What is done with an event that a thread brings. */
    private enum class Admission { RUN_NOW, QUEUED, REFUSED }

    private fun enqueue(priority: EventPriority, handler: () -> Unit, maxQueued: Int): Boolean {
        val admission = synchronized(lock) { admit(queues[priority.ordinal], handler, maxQueued) }
        if (admission == Admission.RUN_NOW) runHandler(handler)
        return admission != Admission.REFUSED
    }

    private fun admit(queue: ArrayDeque<() -> Unit>, handler: () -> Unit, maxQueued: Int): Admission {
        eventsSinceRun++
        val isIdle = !isBusy && queued == 0 && clock.now() < nextRunAt
        return when {
            isIdle -> {
                isBusy = true
                Admission.RUN_NOW
            }

            queue.size >= maxQueued -> Admission.REFUSED

            else -> {
                queue.add(handler)
                queued++
                if (!isBusy) lock.notify()
                Admission.QUEUED
            }
        }
    }

    private fun runHandler(handler: () -> Unit) {
        try {
            handler()
        } catch (e: RuntimeException) {
            // An event that cannot be handled must not stop the controller: log it and go on with the next one.
            log.error("event loop: exception while handling an event", e)
        } finally {
            synchronized(lock) {
                isBusy = false
                if (queued > 0 || clock.now() >= nextRunAt) lock.notify()
            }
        }
    }

    /**
     * The body of the event-loop thread: handles queued events, and does the periodic run [runOnce] every [intervalMs],
     * or every [idleIntervalMs] while no events come. Returns when the thread is interrupted.
     *
     * One periodic run costs little, but forty a second through a quiet hour, in three processes, cost more than the
     * handling of the events.
     */
    fun run(intervalMs: Long, idleIntervalMs: Long, runOnce: () -> Unit) {
        while (!Thread.currentThread().isInterrupted) {
            runHandler(awaitNext(intervalMs, idleIntervalMs) ?: runOnce)
        }
    }

    /**
     * Waits for an event and returns the handler of the one with the highest priority, or null when the periodic run is
     * due. No other thread handles events until the caller has run the handler or the periodic run.
     */
    private fun awaitNext(intervalMs: Long, idleIntervalMs: Long): (() -> Unit)? {
        synchronized(lock) {
            while (true) {
                val wait = nextRunAt - clock.now()
                if (!isBusy) {
                    val handler = dequeue(wait <= 0)
                    if (handler != null || wait <= 0) {
                        isBusy = true
                        if (handler == null) {
                            nextRunAt = clock.now() + if (eventsSinceRun > 0) intervalMs else idleIntervalMs
                            eventsSinceRun = 0
                        }
                        return handler
                    }
                }
                // If the periodic run is due while another thread is busy, that thread wakes this one when it is done.
                lock.wait(maxOf(wait, 0L))
            }
        }
    }

    private fun dequeue(isRunDue: Boolean): (() -> Unit)? {
        if (queued == 0) return null
        val candidates = when {
            // Under lasting overload no user request would be answered unless the lowest priority sometimes went first.
            ++dequeues % LOWEST_PRIORITY_FIRST_EVERY == 0 -> queues.asReversed()

            // The periodic run has the priority INTERNAL, and goes before the queued events of that priority.
            isRunDue -> listOf(queues[EventPriority.HEARTBEAT.ordinal])

            else -> queues
        }
        val handler = candidates.firstNotNullOfOrNull { it.poll() } ?: return null
        queued--
        return handler
    }

    private companion object {
        /** Once in this many dequeues, the queues are searched from the lowest priority up. */
        const val LOWEST_PRIORITY_FIRST_EVERY = 8
    }
}

package io.reedmast.app

import io.reedmast.ports.Clock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import java.util.Collections
import java.util.concurrent.CountDownLatch
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Which thread handles an event, in which order events are handled, and how many threads a pool uses. */
@Timeout(20)
class EventLoopTest {
    private object SteadyClock : Clock {
        override fun now(): Long = System.nanoTime() / 1_000_000

        override fun wallTime(): Long = System.currentTimeMillis()
    }

    private fun eventLoop(intervalMs: Long, runOnce: () -> Unit) = EventLoop(SteadyClock, 2).also { eventLoop ->
        thread(isDaemon = true) { eventLoop.run(intervalMs, intervalMs, runOnce) }
    }

    /** Returns an event loop whose first periodic run is over, so that the next one is not due. */
    private fun afterFirstRun(intervalMs: Long): EventLoop {
        val firstRun = CountDownLatch(1)
        return eventLoop(intervalMs) { firstRun.countDown() }.also {
            firstRun.await()
            Thread.sleep(50)
        }
    }

    @Test
    fun `a thread that finds the loop idle handles its event itself, and other events wait by priority`() {
        val eventLoop = afterFirstRun(60_000)
        var by: Thread? = null
        // On a busy machine the first periodic run may take a while to end.
        for (attempt in 1..100) {
            assertTrue(eventLoop.offer(EventPriority.USER_REQUEST) { by = Thread.currentThread() })
            if (by === Thread.currentThread()) break
            Thread.sleep(20)
        }
        assertEquals(Thread.currentThread(), by)

        val order = Collections.synchronizedList(ArrayList<String>())
        val done = CountDownLatch(4)
        val release = CountDownLatch(1)
        val started = CountDownLatch(1)
        val holder = thread {
            eventLoop.post {
                started.countDown()
                release.await()
            }
        }
        started.await()
        fun recording(name: String): () -> Unit = {
            order.add(name)
            done.countDown()
        }
        eventLoop.offer(EventPriority.USER_REQUEST, recording("submission"))
        eventLoop.post(recording("decision"))
        eventLoop.offer(EventPriority.HEARTBEAT, recording("report"))
        eventLoop.offer(EventPriority.HEARTBEAT, recording("report"))
        assertFalse(eventLoop.offer(EventPriority.HEARTBEAT, recording("one too many")), "the queue is bounded")
        release.countDown()
        done.await()
        holder.join()
        assertEquals(listOf("report", "report", "decision", "submission"), order)
    }

    @Test
    fun `periodic runs go on after another thread has handled an event, and amid a steady stream of events`() {
        val runs = AtomicInteger()
        val eventLoop = eventLoop(20) { runs.incrementAndGet() }
        // One at a time: if there are more heartbeats than can be handled, they go before periodic runs.
        repeat(50) {
            val done = CountDownLatch(1)
            eventLoop.offer(EventPriority.HEARTBEAT) {
                Thread.sleep(5)
                done.countDown()
            }
            done.await()
        }
        assertTrue(runs.get() >= 2, "${runs.get()} periodic runs between heartbeats")
        // The last heartbeat was handled while the event-loop thread waited for the next periodic run, and before that
        // was due: nothing but its own timeout wakes that thread.
        val before = runs.get()
        Thread.sleep(500)
        assertTrue(runs.get() >= before + 5, "${runs.get() - before} periodic runs in half a second without events")
    }

    @Test
    fun `sequential tasks reuse a thread, and a task that finds none free waits or is refused`() {
        val manyThreads = WorkPool("test", 16, 1)
        val threads = Collections.synchronizedSet(HashSet<Thread>())
        repeat(20) {
            val ran = CountDownLatch(1)
            manyThreads.execute {
                threads.add(Thread.currentThread())
                ran.countDown()
            }
            ran.await()
            Thread.sleep(5)
        }
        manyThreads.shutdown()
        // On a busy machine a thread may not be idle again in time for the next task, but not each time.
        assertTrue(threads.size < 8, "${threads.size} threads for sequential tasks")
        val pool = WorkPool("test", 2, 1)
        val release = CountDownLatch(1)
        val queuedTaskRan = CountDownLatch(1)
        repeat(2) { pool.execute { release.await() } }
        pool.execute { queuedTaskRan.countDown() }
        assertThrows(RejectedExecutionException::class.java) { pool.execute { } }
        release.countDown()
        assertTrue(queuedTaskRan.await(5, TimeUnit.SECONDS), "a task that waited for a thread is run")
        pool.shutdown()
    }
}

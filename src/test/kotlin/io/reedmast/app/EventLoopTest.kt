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

/** Who does the deciding, in which order, and on how many threads. */
@Timeout(20)
class EventLoopTest {
    private object SteadyClock : Clock {
        override fun now(): Long = System.nanoTime() / 1_000_000

        override fun wallTime(): Long = System.currentTimeMillis()
    }

    private fun eventLoop(tickMs: Long, runOnce: () -> Unit) = EventLoop(SteadyClock, 2).also { eventLoop ->
        thread(isDaemon = true) { eventLoop.run(tickMs, tickMs, runOnce) }
    }

    /** Waits until a first tick is over, so that the next one is not due. */
    private fun settled(tickMs: Long): EventLoop {
        val ticked = CountDownLatch(1)
        return eventLoop(tickMs) { ticked.countDown() }.also {
            ticked.await()
            Thread.sleep(50)
        }
    }

    @Test
    fun `a thread that finds the desk free decides itself, and the others wait by rank`() {
        val eventLoop = settled(60_000)
        var by: Thread? = null
        // On a busy machine the first tick may take its time to be over.
        for (attempt in 1..100) {
            assertTrue(eventLoop.offer(EventPriority.USER_REQUEST) { by = Thread.currentThread() })
            if (by === Thread.currentThread()) break
            Thread.sleep(20)
        }
        assertEquals(Thread.currentThread(), by)

        val order = Collections.synchronizedList(ArrayList<String>())
        val done = CountDownLatch(4)
        val hold = CountDownLatch(1)
        val held = CountDownLatch(1)
        val holder = thread {
            eventLoop.post {
                held.countDown()
                hold.await()
            }
        }
        held.await()
        fun note(name: String): () -> Unit = {
            order.add(name)
            done.countDown()
        }
        eventLoop.offer(EventPriority.USER_REQUEST, note("submission"))
        eventLoop.post(note("decision"))
        eventLoop.offer(EventPriority.HEARTBEAT, note("report"))
        eventLoop.offer(EventPriority.HEARTBEAT, note("report"))
        assertFalse(eventLoop.offer(EventPriority.HEARTBEAT, note("one too many")), "the queue is bounded")
        hold.countDown()
        done.await()
        holder.join()
        assertEquals(listOf("report", "report", "decision", "submission"), order)
    }

    @Test
    fun `ticks go on after another thread has decided, and between messages that never cease`() {
        val ticks = AtomicInteger()
        val eventLoop = eventLoop(20) { ticks.incrementAndGet() }
        // One at a time: with more reports than can be served, they come before ticks.
        repeat(50) {
            val done = CountDownLatch(1)
            eventLoop.offer(EventPriority.HEARTBEAT) {
                Thread.sleep(5)
                done.countDown()
            }
            done.await()
        }
        assertTrue(ticks.get() >= 2, "${ticks.get()} ticks between messages")
        // It came into a tick's waiting time and was over before the tick was due: nothing else wakes the deciding
        // thread.
        val before = ticks.get()
        Thread.sleep(500)
        assertTrue(ticks.get() >= before + 5, "${ticks.get() - before} ticks in a quiet half second")
    }

    @Test
    fun `work that follows itself stays on one thread, and what finds none waits or is refused`() {
        val several = WorkPool("test", 16, 1)
        val threads = Collections.synchronizedSet(HashSet<Thread>())
        repeat(20) {
            val ran = CountDownLatch(1)
            several.execute {
                threads.add(Thread.currentThread())
                ran.countDown()
            }
            ran.await()
            Thread.sleep(5)
        }
        several.shutdown()
        // On a busy machine a thread may be late to be idle again, but not each time.
        assertTrue(threads.size < 8, "${threads.size} threads for one task after another")
        val pool = WorkPool("test", 2, 1)
        val hold = CountDownLatch(1)
        val late = CountDownLatch(1)
        repeat(2) { pool.execute { hold.await() } }
        pool.execute { late.countDown() }
        assertThrows(RejectedExecutionException::class.java) { pool.execute { } }
        hold.countDown()
        assertTrue(late.await(5, TimeUnit.SECONDS), "what waited for a thread is run")
        pool.shutdown()
    }
}

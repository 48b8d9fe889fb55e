package io.reedmast.kvstore

import io.reedmast.settings.StoreLimits
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class CommitQueueTest {
    private var now = 0L
    private val limits = StoreLimits(100.0, 10.0, 8192, 4)
    private val queue = CommitQueue(limits, WriteRateLimiter(10.0) { now }, maxQueued = 8) { now }

    private fun transaction(path: String, writePriority: WritePriority = WritePriority.URGENT) = CasTransaction(
        listOf(Precondition(path, 1), Precondition("term", 3)),
        listOf(Write.Put(path, emptyMap())),
        writePriority,
    ) {
    }

    private fun paths() = (queue.poll() as CommitQueue.Polled.Batch).transactions.map { it.writes.single().path }

    @Test
    fun `changes of a moment share a transaction, up to the service's limit`() {
        ('a'..'f').forEach { queue.offer(transaction("$it"), refusable = true) }
        assertEquals(listOf("a", "b", "c", "d"), paths())
        assertEquals(listOf("e", "f"), paths())
        assertEquals(CommitQueue.Polled.Empty, queue.poll())
    }

    @Test
    fun `two changes of one key do not share a transaction`() {
        queue.offer(transaction("a"), refusable = true)
        queue.offer(transaction("a"), refusable = true)
        assertEquals(listOf("a"), paths())
        assertEquals(listOf("a"), paths())
    }

    /** A burst of submissions must not hold up the placements of what was accepted. */
    @Test
    fun `work goes on while users send more than the limit allows`() {
        repeat(100) { queue.offer(transaction("work$it"), refusable = false) }
        val sent = ArrayList<String>()
        repeat(200) {
            repeat(4) { queue.offer(transaction("user${sent.size}-$it", WritePriority.USER), refusable = true) }
            (queue.poll() as? CommitQueue.Polled.Batch)?.transactions?.mapTo(sent) { it.writes.single().path }
            now += 50
        }
        assertTrue(sent.count { it.startsWith("work") } >= 25, "$sent")
        assertTrue(sent.count { it.startsWith("user") } >= 40, "$sent")
    }

    /** Acceptances waited for a change's time and more, as long as work took every change that the limit allowed. */
    @Test
    fun `a user's change goes at once while work takes all that the limit leaves`() {
        repeat(40) { queue.offer(transaction("a$it"), refusable = false) }
        while (queue.poll() is CommitQueue.Polled.Batch) now += 1
        repeat(2) {
            queue.offer(transaction("accept$it", WritePriority.USER), refusable = true)
            assertEquals(listOf("accept$it"), paths())
        }
    }

    @Test
    fun `only what is asked for from outside is refused`() {
        repeat(8) { assertTrue(queue.offer(transaction("a$it"), refusable = true)) }
        assertFalse(queue.offer(transaction("b"), refusable = true))
        assertTrue(queue.offer(transaction("c"), refusable = false))
    }

    /**
     * A page that waits here lazily takes up no placements: for as long as others kept coming, its jobs did not start.
     */
    @Test
    fun `a deferred transaction is not kept waiting for ever by urgent ones`() {
        queue.offer(transaction("lazy", WritePriority.DEFERRED), refusable = false)
        val sent = ArrayList<String>()
        repeat(60) {
            now += 100
            queue.offer(transaction("p$it"), refusable = false)
            (queue.poll() as? CommitQueue.Polled.Batch)?.let { batch ->
                batch.transactions.forEach { sent.add(it.writes.single().path) }
            }
        }
        assertTrue("lazy" in sent, "$sent")
    }
}

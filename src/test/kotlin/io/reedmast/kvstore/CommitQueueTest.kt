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

    private fun pollPaths() = (queue.poll() as CommitQueue.Polled.Batch).transactions.map { it.writes.single().path }

    @Test
    fun `waiting transactions are sent together, up to the store's limit`() {
        ('a'..'f').forEach { queue.offer(transaction("$it"), refusable = true) }
        assertEquals(listOf("a", "b", "c", "d"), pollPaths())
        assertEquals(listOf("e", "f"), pollPaths())
        assertEquals(CommitQueue.Polled.Empty, queue.poll())
    }

    @Test
    fun `two transactions that write the same key are not sent together`() {
        queue.offer(transaction("a"), refusable = true)
        queue.offer(transaction("a"), refusable = true)
        assertEquals(listOf("a"), pollPaths())
        assertEquals(listOf("a"), pollPaths())
    }

    /** A burst of submissions must not delay the placements of accepted jobs. */
    @Test
    fun `urgent transactions are sent while users submit more than the limit allows`() {
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

    /**
     * While urgent transactions took all the permits that the limit allowed, each acceptance waited for the time of one
     * transaction or longer.
     */
    @Test
    fun `a user's transaction is sent at once while urgent ones take all other permits`() {
        repeat(40) { queue.offer(transaction("a$it"), refusable = false) }
        while (queue.poll() is CommitQueue.Polled.Batch) now += 1
        repeat(2) {
            queue.offer(transaction("accept$it", WritePriority.USER), refusable = true)
            assertEquals(listOf("accept$it"), pollPaths())
        }
    }

    @Test
    fun `only refusable transactions are refused when the queue is full`() {
        repeat(8) { assertTrue(queue.offer(transaction("a$it"), refusable = true)) }
        assertFalse(queue.offer(transaction("b"), refusable = true))
        assertTrue(queue.offer(transaction("c"), refusable = false))
    }

    /**
     * A progress page that waits here with deferred priority accepts no placements: as long as other transactions kept
     * coming, its jobs did not start.
     */
    @Test
    fun `a deferred transaction is sent although urgent ones keep coming`() {
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

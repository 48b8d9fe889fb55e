package io.reedmast.kvstore

import io.reedmast.kvstore.StoreStub.Delivery
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** The committer must report the actual outcome of transactions that got no answer from the store. */
class CommitterTest {
    private val store = StoreStub()
    private val outcomes = ConcurrentHashMap<String, CommitOutcome>()

    @AfterEach
    fun close() = store.close()

    private fun transaction(
        name: String,
        preconditions: List<Precondition>,
        vararg writes: Write,
        done: CountDownLatch,
    ) = CasTransaction(preconditions, writes.toList()) {
        outcomes[name] = it
        done.countDown()
    }

    private fun commit(transactions: List<CasTransaction>, done: CountDownLatch) {
        val committer =
            Committer(store.client, EffectiveLimits(store.limits), 64, TransactionIds("test")) {
                    transaction,
                    outcome,
                ->
                transaction.done(outcome)
            }
        transactions.forEach { committer.offer(it, refusable = false) }
        Thread(committer::run).apply { isDaemon = true }.start()
        assertTrue(done.await(20, TimeUnit.SECONDS), "some transactions never get an outcome")
    }

    /**
     * Two controllers cancel the same job and thereby write the same value. The transaction of one of them, sent
     * together with the acceptance of a second job and with a page of placements, is lost. Its repeat conflicts, and
     * the cancelled job's record has the value that it would have written. The acceptance and the placements were
     * therefore reported as stored: an accepted job was lost, and tasks were launched that no later owner knew of.
     */
    @Test
    fun `an equal value written by another controller does not prove that a transaction was applied`() {
        val cancelled = mapOf("spec" to "wk-1", "aborted" to true)
        val before = store.put("j/live/0/wk-1", mapOf("spec" to "wk-1"))
        val done = CountDownLatch(3)
        store.planDeliveries(Delivery.LOST)
        store.onUnanswered = { store.put("j/live/0/wk-1", cancelled) }
        val cancel =
            transaction(
                "cancel",
                listOf(Precondition("j/live/0/wk-1", before)),
                Write.Put("j/live/0/wk-1", cancelled),
                done = done,
            )
        val accept =
            transaction(
                "accept",
                listOf(Precondition("j/live/0/wk-2", 0)),
                Write.Put("j/live/0/wk-2", mapOf("spec" to "wk-2")),
                done = done,
            )
        val page =
            transaction(
                "page",
                listOf(Precondition("page/0/0", 0)),
                Write.Put("page/0/0", mapOf("chunks" to listOf("wk-3"))),
                done = done,
            )
        commit(listOf(cancel, accept, page), done)
        assertEquals(CommitOutcome.Conflict(setOf("j/live/0/wk-1")), outcomes["cancel"])
        assertEquals(CommitOutcome.Applied(store.versionOf("j/live/0/wk-2")), outcomes["accept"])
        assertEquals(CommitOutcome.Applied(store.versionOf("page/0/0")), outcomes["page"])
    }
}

package io.reedmast.kvstore

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/**
 * For each possible outcome of a transaction that got no answer, and for each kind of write, the reported outcome is
 * the actual one.
 */
class InDoubtResolutionTest {
    private val outcomes = LinkedHashMap<String, CommitOutcome>()
    private val sent = ArrayList<StoreTransaction>()

    private fun transaction(name: String, preconditions: List<Precondition>, vararg writes: Write) =
        CasTransaction(preconditions, writes.toList()) {
            outcomes[name] =
                it
        }

    private val cancel = transaction("cancel", listOf(Precondition("a", 5)), Write.Put("a", mapOf("aborted" to true)))
    private val accept =
        transaction(
            "accept",
            listOf(Precondition("b", 0), Precondition("end/b", 0)),
            Write.Put("b", mapOf("spec" to "b")),
        )
    private val end =
        transaction(
            "end",
            listOf(Precondition("c", 7), Precondition("end/c", 4)),
            Write.Put("end/c", mapOf("state" to "done")),
            Write.Delete("c"),
        )
    private val lead =
        transaction("lead", listOf(Precondition("leader", 0)), Write.Put("leader", mapOf("label" to "n0"), lease = 3))

    private fun resolution(vararg transactions: CasTransaction) =
        InDoubtResolution(transactions.toList(), TransactionIds("me"), {
            0.5
        }) { transaction, outcome -> transaction.done(outcome) }

    private fun InDoubtResolution.reply(reply: CommitReply) {
        sent.add((nextStep() as ResolutionStep.Send).transaction)
        onReply(reply)
    }

    private fun InDoubtResolution.answerReads(vararg values: Pair<String, StoredItem?>) {
        val known = values.toMap()
        while (true) {
            val step = nextStep() as? ResolutionStep.Read ?: return
            onReadResult(known[step.path]?.let { ReadResult.Found(it) } ?: ReadResult.Missing)
        }
    }

    private fun stored(path: String, version: Long, by: String?) = StoredItem(
        path,
        if (by ==
            null
        ) {
            emptyMap()
        } else {
            mapOf("txn" to by)
        },
        version,
    )

    @Test
    fun `a transaction whose answer was lost is reported as applied`() {
        val resolution = resolution(cancel, accept, end)
        resolution.reply(CommitReply.Unknown)
        resolution.reply(CommitReply.PreconditionFailed(setOf("a", "b", "c", "end/c")))
        resolution.answerReads("a" to stored("a", 9, sent[0].id))
        assertEquals(List(3) { CommitOutcome.Applied(9) }, outcomes.values.toList())
        assertEquals(ResolutionStep.Done, resolution.nextStep())
    }

    @Test
    fun `the second key proves that a transaction was applied if its first key has been replaced`() {
        val resolution = resolution(cancel, accept)
        resolution.reply(CommitReply.Unknown)
        resolution.reply(CommitReply.PreconditionFailed(setOf("a", "b")))
        resolution.answerReads("a" to stored("a", 11, "other"), "b" to stored("b", 9, sent[0].id))
        assertEquals(List(2) { CommitOutcome.Applied(9) }, outcomes.values.toList())
    }

    @Test
    fun `of a lost request only the transaction whose key another writer changed is a conflict`() {
        val resolution = resolution(cancel, accept, end)
        resolution.reply(CommitReply.Unknown)
        resolution.reply(CommitReply.PreconditionFailed(setOf("a")))
        // A key whose precondition holds is read first; its version is unchanged, so the others need not be read.
        assertEquals(ResolutionStep.Read("end/c", 0), resolution.nextStep())
        resolution.answerReads("a" to stored("a", 9, "other"), "end/c" to stored("end/c", 4, "older"))
        assertEquals(mapOf("cancel" to CommitOutcome.Conflict(setOf("a"))), outcomes)
        resolution.reply(CommitReply.Applied(12))
        assertEquals(listOf("b", "end/c", "c"), sent.last().writes.map { it.path })
        assertEquals(
            listOf(CommitOutcome.Conflict(setOf("a")), CommitOutcome.Applied(12), CommitOutcome.Applied(12)),
            outcomes.values.toList(),
        )
    }

    @Test
    fun `a key with an unchanged version proves that nothing was applied, whatever its value is`() {
        val resolution = resolution(cancel, end)
        resolution.reply(CommitReply.Unknown)
        resolution.reply(CommitReply.PreconditionFailed(setOf("c")))
        // The value was stored by this same process, in an earlier transaction.
        resolution.answerReads("a" to stored("a", 5, "me-0"))
        assertEquals(mapOf("end" to CommitOutcome.Conflict(setOf("c"))), outcomes)
    }

    @Test
    fun `a transaction that was repeated several times is recognized as well`() {
        val resolution = resolution(accept)
        repeat(3) { resolution.reply(CommitReply.Unknown) }
        resolution.reply(CommitReply.PreconditionFailed(setOf("b")))
        resolution.answerReads("b" to stored("b", 9, sent[1].id))
        assertEquals(mapOf("accept" to CommitOutcome.Applied(9)), outcomes)
    }

    /**
     * Once the lease has expired, the repeat is refused whatever its preconditions say, although the first copy, whose
     * answer was lost, had stored the other writes.
     */
    @Test
    fun `transactions sent together with a write under an expired lease are reported one by one`() {
        val resolution = resolution(lead, accept, end)
        resolution.reply(CommitReply.Unknown)
        resolution.reply(CommitReply.Malformed("no such lease"))
        resolution.reply(CommitReply.Malformed("no such lease"))
        resolution.answerReads()
        assertEquals(mapOf("lead" to CommitOutcome.Refused("no such lease")), outcomes)
        resolution.reply(CommitReply.PreconditionFailed(setOf("b")))
        resolution.answerReads("b" to stored("b", 9, sent[0].id))
        resolution.reply(CommitReply.PreconditionFailed(setOf("c", "end/c")))
        resolution.answerReads("end/c" to stored("end/c", 9, sent[0].id))
        assertEquals(
            listOf(CommitOutcome.Applied(9), CommitOutcome.Applied(9)),
            listOf(outcomes["accept"], outcomes["end"]),
        )
    }

    /**
     * The leader's key existed, under its lease, until the lease expired: that it is missing proves nothing about the
     * other keys.
     */
    @Test
    fun `a key that is missing again does not hide that its transaction was applied`() {
        val resolution = resolution(lead, accept)
        resolution.reply(CommitReply.Unknown)
        resolution.reply(CommitReply.PreconditionFailed(setOf("b")))
        resolution.answerReads("b" to stored("b", 9, sent[0].id))
        assertEquals(List(2) { CommitOutcome.Applied(9) }, outcomes.values.toList())
    }

    @Test
    fun `nothing is reported while the keys cannot be read`() {
        val resolution = resolution(accept)
        resolution.reply(CommitReply.Unknown)
        resolution.reply(CommitReply.PreconditionFailed(setOf("b")))
        repeat(3) { resolution.onReadResult(ReadResult.Failed) }
        assertEquals(emptyMap<String, CommitOutcome>(), outcomes)
        resolution.answerReads("b" to stored("b", 9, "other"))
        assertEquals(mapOf("accept" to CommitOutcome.Conflict(setOf("b"))), outcomes)
    }

    @Test
    fun `a transaction that was not executed is repeated after ever longer pauses, and nothing is read`() {
        val resolution = resolution(accept)
        val pauses = List(3) {
            resolution.reply(CommitReply.NotExecuted)
            (resolution.nextStep() as ResolutionStep.Send).pauseMs
        }
        assertEquals(pauses.sorted().distinct(), pauses)
        resolution.reply(CommitReply.PreconditionFailed(setOf("b")))
        assertEquals(mapOf("accept" to CommitOutcome.Conflict(setOf("b"))), outcomes)
    }
}

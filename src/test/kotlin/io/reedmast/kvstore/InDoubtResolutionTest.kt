package io.reedmast.kvstore

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/**
 * For each way a transaction without an answer can have gone, and each kind of change: what is reported is what became
 * of it.
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

    private fun InDoubtResolution.find(vararg values: Pair<String, StoredItem?>) {
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
    fun `a transaction that was applied although its answer was lost`() {
        val resolution = resolution(cancel, accept, end)
        resolution.reply(CommitReply.Unknown)
        resolution.reply(CommitReply.PreconditionFailed(setOf("a", "b", "c", "end/c")))
        resolution.find("a" to stored("a", 9, sent[0].id))
        assertEquals(List(3) { CommitOutcome.Applied(9) }, outcomes.values.toList())
        assertEquals(ResolutionStep.Done, resolution.nextStep())
    }

    @Test
    fun `its first key was replaced since, and the next one tells`() {
        val resolution = resolution(cancel, accept)
        resolution.reply(CommitReply.Unknown)
        resolution.reply(CommitReply.PreconditionFailed(setOf("a", "b")))
        resolution.find("a" to stored("a", 11, "other"), "b" to stored("b", 9, sent[0].id))
        assertEquals(List(2) { CommitOutcome.Applied(9) }, outcomes.values.toList())
    }

    @Test
    fun `a transaction that was lost, and another writer was first with one of its keys`() {
        val resolution = resolution(cancel, accept, end)
        resolution.reply(CommitReply.Unknown)
        resolution.reply(CommitReply.PreconditionFailed(setOf("a")))
        // The key whose precondition holds is read first, and has not moved: the others need not be read.
        assertEquals(ResolutionStep.Read("end/c", 0), resolution.nextStep())
        resolution.find("a" to stored("a", 9, "other"), "end/c" to stored("end/c", 4, "older"))
        assertEquals(mapOf("cancel" to CommitOutcome.Conflict(setOf("a"))), outcomes)
        resolution.reply(CommitReply.Applied(12))
        assertEquals(listOf("b", "end/c", "c"), sent.last().writes.map { it.path })
        assertEquals(
            listOf(CommitOutcome.Conflict(setOf("a")), CommitOutcome.Applied(12), CommitOutcome.Applied(12)),
            outcomes.values.toList(),
        )
    }

    @Test
    fun `a key that has not moved proves that nothing was applied, whatever its value is`() {
        val resolution = resolution(cancel, end)
        resolution.reply(CommitReply.Unknown)
        resolution.reply(CommitReply.PreconditionFailed(setOf("c")))
        // The value was stored by this very process, in an earlier transaction.
        resolution.find("a" to stored("a", 5, "me-0"))
        assertEquals(mapOf("end" to CommitOutcome.Conflict(setOf("c"))), outcomes)
    }

    @Test
    fun `the repeat of a repeat is recognized as well`() {
        val resolution = resolution(accept)
        repeat(3) { resolution.reply(CommitReply.Unknown) }
        resolution.reply(CommitReply.PreconditionFailed(setOf("b")))
        resolution.find("b" to stored("b", 9, sent[1].id))
        assertEquals(mapOf("accept" to CommitOutcome.Applied(9)), outcomes)
    }

    /**
     * With the lease over, the repeat is refused whatever its preconditions say; the lost copy had stored the other
     * changes.
     */
    @Test
    fun `transactions that share a request with a lease that has ended are reported one by one`() {
        val resolution = resolution(lead, accept, end)
        resolution.reply(CommitReply.Unknown)
        resolution.reply(CommitReply.Malformed("no such lease"))
        resolution.reply(CommitReply.Malformed("no such lease"))
        resolution.find()
        assertEquals(mapOf("lead" to CommitOutcome.Refused("no such lease")), outcomes)
        resolution.reply(CommitReply.PreconditionFailed(setOf("b")))
        resolution.find("b" to stored("b", 9, sent[0].id))
        resolution.reply(CommitReply.PreconditionFailed(setOf("c", "end/c")))
        resolution.find("end/c" to stored("end/c", 9, sent[0].id))
        assertEquals(
            listOf(CommitOutcome.Applied(9), CommitOutcome.Applied(9)),
            listOf(outcomes["accept"], outcomes["end"]),
        )
    }

    /**
     * The leader's key was there, under its lease, until the lease ended: that it is missing says nothing of the
     * others.
     */
    @Test
    fun `a key that is missing again does not hide that its transaction was applied`() {
        val resolution = resolution(lead, accept)
        resolution.reply(CommitReply.Unknown)
        resolution.reply(CommitReply.PreconditionFailed(setOf("b")))
        resolution.find("b" to stored("b", 9, sent[0].id))
        assertEquals(List(2) { CommitOutcome.Applied(9) }, outcomes.values.toList())
    }

    @Test
    fun `nothing is reported while the keys cannot be read`() {
        val resolution = resolution(accept)
        resolution.reply(CommitReply.Unknown)
        resolution.reply(CommitReply.PreconditionFailed(setOf("b")))
        repeat(3) { resolution.onReadResult(ReadResult.Failed) }
        assertEquals(emptyMap<String, CommitOutcome>(), outcomes)
        resolution.find("b" to stored("b", 9, "other"))
        assertEquals(mapOf("accept" to CommitOutcome.Conflict(setOf("b"))), outcomes)
    }

    @Test
    fun `a pause follows what was not executed, longer each time, and nothing is read`() {
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

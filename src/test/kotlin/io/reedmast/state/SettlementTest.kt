package io.reedmast.state

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** For each way a transaction without an answer can have gone, and each kind of change: what is reported is what became of it. */
class SettlementTest {
    private val outcomes = LinkedHashMap<String, Outcome>()
    private val sent = ArrayList<Transaction>()

    private fun change(name: String, guards: List<Guard>, vararg writes: Write) = Change(guards, writes.toList()) { outcomes[name] = it }

    private val cancel = change("cancel", listOf(Guard("a", 5)), Write.Put("a", mapOf("aborted" to true)))
    private val accept = change("accept", listOf(Guard("b", 0), Guard("end/b", 0)), Write.Put("b", mapOf("spec" to "b")))
    private val end = change("end", listOf(Guard("c", 7), Guard("end/c", 4)), Write.Put("end/c", mapOf("state" to "done")), Write.Delete("c"))
    private val lead = change("lead", listOf(Guard("leader", 0)), Write.Put("leader", mapOf("label" to "n0"), lease = 3))

    private fun settlement(vararg changes: Change) = Settlement(changes.toList(), TransactionIds("me"), { 0.5 }) { change, outcome -> change.done(outcome) }

    private fun Settlement.reply(reply: CommitReply) {
        sent.add((next() as Step.Send).transaction)
        replied(reply)
    }

    private fun Settlement.find(vararg values: Pair<String, Item?>) {
        val known = values.toMap()
        while (true) {
            val step = next() as? Step.Read ?: return
            read(known[step.path]?.let { Fetched.Found(it) } ?: Fetched.Missing)
        }
    }

    private fun stored(path: String, version: Long, by: String?) = Item(path, if (by == null) emptyMap() else mapOf("txn" to by), version)

    @Test
    fun `a transaction that was applied although its answer was lost`() {
        val settlement = settlement(cancel, accept, end)
        settlement.reply(CommitReply.Unknown)
        settlement.reply(CommitReply.Failed(setOf("a", "b", "c", "end/c")))
        settlement.find("a" to stored("a", 9, sent[0].id))
        assertEquals(List(3) { Outcome.Applied(9) }, outcomes.values.toList())
        assertEquals(Step.Done, settlement.next())
    }

    @Test
    fun `its first key was replaced since, and the next one tells`() {
        val settlement = settlement(cancel, accept)
        settlement.reply(CommitReply.Unknown)
        settlement.reply(CommitReply.Failed(setOf("a", "b")))
        settlement.find("a" to stored("a", 11, "other"), "b" to stored("b", 9, sent[0].id))
        assertEquals(List(2) { Outcome.Applied(9) }, outcomes.values.toList())
    }

    @Test
    fun `a transaction that was lost, and another writer was first with one of its keys`() {
        val settlement = settlement(cancel, accept, end)
        settlement.reply(CommitReply.Unknown)
        settlement.reply(CommitReply.Failed(setOf("a")))
        // The key whose guard holds is read first, and has not moved: the others need not be read.
        assertEquals(Step.Read("end/c", 0), settlement.next())
        settlement.find("a" to stored("a", 9, "other"), "end/c" to stored("end/c", 4, "older"))
        assertEquals(mapOf("cancel" to Outcome.Conflict(setOf("a"))), outcomes)
        settlement.reply(CommitReply.Applied(12))
        assertEquals(listOf("b", "end/c", "c"), sent.last().writes.map { it.path })
        assertEquals(listOf(Outcome.Conflict(setOf("a")), Outcome.Applied(12), Outcome.Applied(12)), outcomes.values.toList())
    }

    @Test
    fun `a key that has not moved proves that nothing was applied, whatever its value is`() {
        val settlement = settlement(cancel, end)
        settlement.reply(CommitReply.Unknown)
        settlement.reply(CommitReply.Failed(setOf("c")))
        // The value was stored by this very process, in an earlier transaction.
        settlement.find("a" to stored("a", 5, "me-0"))
        assertEquals(mapOf("end" to Outcome.Conflict(setOf("c"))), outcomes)
    }

    @Test
    fun `the repeat of a repeat is recognized as well`() {
        val settlement = settlement(accept)
        repeat(3) { settlement.reply(CommitReply.Unknown) }
        settlement.reply(CommitReply.Failed(setOf("b")))
        settlement.find("b" to stored("b", 9, sent[1].id))
        assertEquals(mapOf("accept" to Outcome.Applied(9)), outcomes)
    }

    /** With the lease over, the repeat is refused whatever its guards say; the lost copy had stored the other changes. */
    @Test
    fun `changes that share a transaction with a lease that has ended are told one by one`() {
        val settlement = settlement(lead, accept, end)
        settlement.reply(CommitReply.Unknown)
        settlement.reply(CommitReply.Bad("no such lease"))
        settlement.reply(CommitReply.Bad("no such lease"))
        settlement.find()
        assertEquals(mapOf("lead" to Outcome.Refused("no such lease")), outcomes)
        settlement.reply(CommitReply.Failed(setOf("b")))
        settlement.find("b" to stored("b", 9, sent[0].id))
        settlement.reply(CommitReply.Failed(setOf("c", "end/c")))
        settlement.find("end/c" to stored("end/c", 9, sent[0].id))
        assertEquals(listOf(Outcome.Applied(9), Outcome.Applied(9)), listOf(outcomes["accept"], outcomes["end"]))
    }

    /** The leader's key was there, under its lease, until the lease ended: that it is missing says nothing of the others. */
    @Test
    fun `a key that is missing again does not hide that its transaction was applied`() {
        val settlement = settlement(lead, accept)
        settlement.reply(CommitReply.Unknown)
        settlement.reply(CommitReply.Failed(setOf("b")))
        settlement.find("b" to stored("b", 9, sent[0].id))
        assertEquals(List(2) { Outcome.Applied(9) }, outcomes.values.toList())
    }

    @Test
    fun `nothing is reported while the keys cannot be read`() {
        val settlement = settlement(accept)
        settlement.reply(CommitReply.Unknown)
        settlement.reply(CommitReply.Failed(setOf("b")))
        repeat(3) { settlement.read(Fetched.Failed) }
        assertEquals(emptyMap<String, Outcome>(), outcomes)
        settlement.find("b" to stored("b", 9, "other"))
        assertEquals(mapOf("accept" to Outcome.Conflict(setOf("b"))), outcomes)
    }

    @Test
    fun `a pause follows what was not executed, longer each time, and nothing is read`() {
        val settlement = settlement(accept)
        val pauses = List(3) {
            settlement.reply(CommitReply.NotExecuted)
            (settlement.next() as Step.Send).afterMs
        }
        assertEquals(pauses.sorted().distinct(), pauses)
        settlement.reply(CommitReply.Failed(setOf("b")))
        assertEquals(mapOf("accept" to Outcome.Conflict(setOf("b"))), outcomes)
    }
}

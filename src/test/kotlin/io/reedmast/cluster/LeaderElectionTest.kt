package io.reedmast.cluster

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.ListResult
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.ReadResult
import io.reedmast.ports.KeyValueStore
import io.reedmast.ports.LeaseState
import io.reedmast.ports.ProcessControl
import io.reedmast.scheduling.SettableClock
import io.reedmast.sim.testSettings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * A snapshot of the cluster's keys is read page by page: it may show machines as they were before the last leader's last
 * write, and no leader any more. A controller that claims the key then, and is answered before its watch has caught up,
 * would assign a machine that the last leader has put into another shard.
 */
class LeaderElectionTest {
    private val clock = SettableClock(1_000L)

    /** Applies every transaction at once, each with the next revision after [revision]. */
    private class AcceptingStore(var revision: Long) : KeyValueStore {
        val written = ArrayList<String>()
        override val isAvailable = true

        override fun commit(transaction: CasTransaction, refusable: Boolean): Boolean {
            written.addAll(transaction.writes.map { it.path })
            transaction.done(CommitOutcome.Applied(++revision))
            return true
        }

        override fun writePermitLevel() = 1.0

        override fun get(path: String, done: (ReadResult) -> Unit) = done(ReadResult.Missing)

        override fun list(prefix: String, done: (ListResult) -> Unit) = done(ListResult.Failed)

        override fun extendLease(lease: Long?, lifeMs: Long, done: (LeaseState) -> Unit) =
            done(LeaseState.Held(lease ?: 1L, isNew = lease == null))
    }

    private object NoProcess : ProcessControl {
        override fun shareLimits(aliveControllers: Int, leading: Boolean) = Unit

        override fun end(reason: String) = Unit

        override fun expectMachines(count: Int) = Unit
    }

    @Test
    fun `the term counts once the watch has shown all that was stored before it`() {
        val store = AcceptingStore(revision = 20L)
        val membership = Membership(testSettings(), clock, store, NoProcess, { emptyMap() }) {
            Precondition(Keys.ROLLOUT, 0L)
        }
        membership.reset(revision = 10L)
        membership.keepLease()

        membership.claimKeys(mayLead = true)
        membership.claimKeys(mayLead = true)

        assertTrue(Keys.LEADER in store.written)
        assertTrue(membership.leading)
        assertNull(membership.leaderTerm)

        membership.recordObserved(store.revision)

        assertEquals(membership.leaderVersion, membership.leaderTerm)
    }

    /** A deposed leader's late answers must not be stored under the term of the leader that follows. */
    @Test
    fun `another controller's key gives no term`() {
        val membership = Membership(testSettings(), clock, AcceptingStore(20L), NoProcess, { emptyMap() }) {
            Precondition(Keys.ROLLOUT, 0L)
        }
        membership.applyRecord(Keys.LEADER, mapOf("label" to "n1"), version = 15L)
        membership.recordObserved(20L)

        assertEquals("n1", membership.leader)
        assertNull(membership.leaderTerm)
    }
}

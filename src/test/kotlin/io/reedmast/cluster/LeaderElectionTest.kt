package io.reedmast.cluster

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.scheduling.SettableClock
import io.reedmast.sim.testSettings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * A snapshot of the cluster's keys is read page by page: it may show the machine lists from before the previous
 * leader's last write, but no leader key any more. A controller that then claims the leader key, and gets the answer
 * before its watch has caught up, would assign a machine that the previous leader has added to another shard.
 */
class LeaderElectionTest {
    private val clock = SettableClock(1_000L)

    @Test
    fun `the term is known only once the watch has delivered everything stored before it`() {
        val store = AcceptingStore(revision = 20L)
        val membership = Membership(testSettings(), clock, store, NoOpProcessControl, { emptyMap() }) {
            Precondition(Keys.ROLLOUT, 0L)
        }
        membership.reset(revision = 10L)
        membership.keepLease()

        membership.claimKeys(mayLead = true)
        membership.claimKeys(mayLead = true)

        assertTrue(store.committed.any { transaction -> transaction.writes.any { it.path == Keys.LEADER } })
        assertTrue(membership.leading)
        assertNull(membership.leaderTerm)

        membership.recordObserved(store.revision)

        assertEquals(membership.leaderVersion, membership.leaderTerm)
    }

    /** Writes that a deposed leader makes when late answers arrive must not be stored under its successor's term. */
    @Test
    fun `a leader key of another controller gives no term`() {
        val membership = Membership(testSettings(), clock, AcceptingStore(20L), NoOpProcessControl, { emptyMap() }) {
            Precondition(Keys.ROLLOUT, 0L)
        }
        membership.applyRecord(Keys.LEADER, mapOf("label" to "n1"), version = 15L)
        membership.recordObserved(20L)

        assertEquals("n1", membership.leader)
        assertNull(membership.leaderTerm)
    }
}

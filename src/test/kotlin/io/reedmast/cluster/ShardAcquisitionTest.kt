package io.reedmast.cluster

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.WatchEvent
import io.reedmast.kvstore.Write
import io.reedmast.model.ShardRecord
import io.reedmast.ports.Clock
import io.reedmast.rollout.RolloutOptions
import io.reedmast.settings.ShardId
import io.reedmast.settings.Tuning
import io.reedmast.sim.RecordingGateway
import io.reedmast.sim.testSettings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test

/**
 * A shard belongs to this controller only while no newer record names another owner, however late the answer to its
 * acquisition arrives.
 */
class ShardAcquisitionTest {
    private var now = 100_000L
    private val clock = object : Clock {
        override fun now() = now

        override fun wallTime() = now
    }
    private val settings = testSettings(controllers = listOf("n0", "n1"))
    private val out = RecordingGateway()
    private val cluster =
        Cluster(settings, Tuning(), clock, out, EffectiveLimits(settings.storeLimits), {
            emptyList()
        }, "n0-1", RolloutOptions(ClusterFeatures.registry))
    private val key = Keys.shard(0)

    private fun transaction(): CasTransaction = out.commits.first { commit -> commit.writes.any { it.path == key } }

    private fun recordWrite(): Write.Put = transaction().writes.filterIsInstance<Write.Put>().first { it.path == key }

    @BeforeEach
    fun begin() {
        cluster.watchResults.onClusterSnapshot(emptyList(), revision = 10, askedAt = now)
        cluster.watchResults.onJobsSnapshot(emptyList(), revision = 10, askedAt = now)
        cluster.runOnce()
    }

    @Test
    fun `an acquisition that was applied makes this controller the owner`() {
        transaction().done(CommitOutcome.Applied(20))
        assertEquals(listOf(0), cluster.activeOwners().map { it.index.value })
    }

    @Test
    fun `an acquisition confirmed by the watch is not changed by the later answer`() {
        cluster.watchResults.onClusterEvents(
            listOf(WatchEvent(key, recordWrite().value, 20)),
            revision = 20,
            askedAt = now,
        )
        val owner = cluster.activeOwners().single()
        transaction().done(CommitOutcome.Applied(20))
        assertEquals(owner, cluster.activeOwners().single())
    }

    /** The outcome becomes known after an outage of this controller alone, in which another acquired the shard. */
    @Test
    fun `an acquisition whose outcome arrives after that of another controller has no effect`() {
        cluster.watchResults.onClusterEvents(
            listOf(WatchEvent(key, ShardRecord("n1", 5L shl 20).toFields(), 30)),
            revision = 30,
            askedAt = now,
        )
        transaction().done(CommitOutcome.Applied(20))
        assertEquals(emptyList<Int>(), cluster.activeOwners().map { it.index.value })
        assertEquals("n1", cluster.ownerOf(ShardId(0)))
    }
}

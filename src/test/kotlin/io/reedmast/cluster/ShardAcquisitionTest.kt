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

/** A shard is this controller's only while no newer record says otherwise, however late the answer to its taking is. */
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

    private fun take(): CasTransaction = out.commits.first { change -> change.writes.any { it.path == key } }

    private fun acquiring(): Write.Put = take().writes.filterIsInstance<Write.Put>().first { it.path == key }

    @BeforeEach
    fun begin() {
        cluster.watchResults.onClusterSnapshot(emptyList(), revision = 10, askedAt = now)
        cluster.watchResults.onJobsSnapshot(emptyList(), revision = 10, askedAt = now)
        cluster.runOnce()
    }

    @Test
    fun `an acquisition that was applied makes this controller the owner`() {
        take().done(CommitOutcome.Applied(20))
        assertEquals(listOf(0), cluster.activeOwners().map { it.index.value })
    }

    @Test
    fun `the watch tells of it first, and the answer changes nothing more`() {
        cluster.watchResults.onClusterEvents(
            listOf(WatchEvent(key, acquiring().value, 20)),
            revision = 20,
            askedAt = now,
        )
        val owner = cluster.activeOwners().single()
        take().done(CommitOutcome.Applied(20))
        assertEquals(owner, cluster.activeOwners().single())
    }

    /** The answer is made up for after an outage of this controller alone, in which another has taken the shard. */
    @Test
    fun `a take that is settled after another controller's is not acted on`() {
        cluster.watchResults.onClusterEvents(
            listOf(WatchEvent(key, ShardRecord("n1", 5L shl 20).toFields(), 30)),
            revision = 30,
            askedAt = now,
        )
        take().done(CommitOutcome.Applied(20))
        assertEquals(emptyList<Int>(), cluster.activeOwners().map { it.index.value })
        assertEquals("n1", cluster.ownerOf(ShardId(0)))
    }
}

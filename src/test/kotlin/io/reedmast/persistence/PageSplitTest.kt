package io.reedmast.persistence

import io.reedmast.jobs.FinalRecord
import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.StoredItem
import io.reedmast.kvstore.Write
import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.model.MachineRecord
import io.reedmast.model.Placement
import io.reedmast.model.ShardState
import io.reedmast.ports.Clock
import io.reedmast.settings.ShardId
import io.reedmast.settings.StoreLimits
import io.reedmast.settings.TeamId
import io.reedmast.settings.TeamShare
import io.reedmast.settings.Tuning
import io.reedmast.sim.RecordingGateway
import io.reedmast.sim.World
import io.reedmast.sim.testSettings
import io.reedmast.wire.Fields
import io.reedmast.wire.maps
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Splitting a page of an earlier version for reduced limits: two pages cover the same tasks until the old one is
 * cleared.
 */
class PageSplitTest {
    private var now = 10_000L
    private val clock = object : Clock {
        override fun now() = now

        override fun wallTime() = now
    }
    private val settings = testSettings(
        team = TeamShare("a", 800.0, 1200.0, 0.0, 0.0),
        storeLimits = StoreLimits(100.0, 50.0, 32 * 1024, 16),
        nextStoreLimits = StoreLimits(100.0, 35.0, 2 * 1024, 5),
    )
    private val gateway = RecordingGateway()
    private val limits = EffectiveLimits(settings.storeLimits, settings.nextStoreLimits).apply { reduce() }
    private val shardState = ShardState(ShardId(0), settings, Tuning(), clock, { emptyList() }, { true }, limits)
    private val launchable = ArrayList<Placement>()
    private val store = ProgressStore(
        shardState,
        gateway,
        object : ProgressListener {
            override fun onPlacementStored(placement: Placement) {
                launchable.add(placement)
            }

            override fun onTermConflict() = Unit

            override fun onGatesConflict() = Unit

            override fun onJobRecordChanged(path: String, item: StoredItem?) = Unit

            override fun onJobEnded(job: Job, end: FinalRecord, revision: Long) = Unit
        },
    )
    private val smallSize = PageFormat.chunkSizeFor(2 * 1024)
    private val job = Job(World.spec("wk-1", mapOf("tasks" to "100")), TeamId(0), smallSize, 0L, 1L).also {
        shardState.jobs["wk-1"] =
            it
    }

    private fun chunk(first: Int, size: Int?, vararg on: Any): Fields =
        mapOf("job" to "wk-1", "first" to first.toLong(), "done" to "", "on" to on.toList()) +
            (if (size == null) emptyMap() else mapOf("size" to size.toLong()))

    private fun page(index: Int, version: Long, vararg chunks: Fields) =
        StoredItem(Keys.page(0, index), mapOf("chunks" to chunks.toList()), version)

    private fun load(vararg pages: StoredItem) = store.load(pages.toList(), mapOf("wk-1" to OLD_SIZE)) { of, stored ->
        val machine = Machine(MachineRecord(stored.machineName, "m", "x", false), null, 0L, 0L)
        shardState.place(Placement(of, stored.task, stored.attempt, machine, now).apply { committed = true })
    }

    private fun tasksPlaced() = job.placements().map { it.task }.toList()

    private fun flush(): List<CasTransaction> {
        val before = gateway.commits.size
        store.flush(now)
        // Changes that no placement waits for are written only after a delay.
        now += 10_000
        store.flush(now)
        return gateway.commits.drop(before)
    }

    private fun putOf(change: CasTransaction) = change.writes.single() as Write.Put

    @Test
    fun `an older copy does not bring back a placement that has ended`() {
        val old = page(0, 5L, chunk(0, null, 0L, 7L, "host-1", 1L, 8L, "host-2", 40L, 9L, "host-3"))
        val newer = page(1, 9L, chunk(0, smallSize, 1L, 8L, "host-2"))
        load(old, newer)
        assertEquals(listOf(1, 40), tasksPlaced())
    }

    @Test
    fun `a chunk that has become empty is still stored while an older copy exists`() {
        load(page(0, 5L, chunk(0, null, 0L, 7L, "host-1")))
        shardState.finish(job.placements().first(), done = false)
        val chunks = flush().map { putOf(it) }.filter { it.path != Keys.page(0, 0) }.flatMap { it.value.maps("chunks") }
        assertTrue(
            chunks.any {
                it["first"] == 0 && it["size"] == smallSize && it["on"] == emptyList<Any>()
            },
            "$chunks",
        )
    }

    @Test
    fun `the old page is cleared only once all of its content is stored in other pages`() {
        load(page(0, 5L, chunk(0, null, 0L, 7L, "host-1", 40L, 9L, "host-3")))
        val first = flush()
        assertTrue(
            first.isNotEmpty() && first.none {
                putOf(it).path == Keys.page(0, 0)
            },
            "${first.map { putOf(it).path }}",
        )
        assertTrue(flush().none { putOf(it).path == Keys.page(0, 0) })
        assertFalse(job.chunkOf(0).isStored)
        first.forEach { it.done(CommitOutcome.Applied(11L)) }
        val cleared = flush().single { putOf(it).path == Keys.page(0, 0) }
        assertEquals(PageFormat.PLAIN_SIZED.toFields(emptyList()), putOf(cleared).value)
        assertTrue(cleared.preconditions.any { it.path == Keys.page(0, 0) && it.version == 5L })
        cleared.done(CommitOutcome.Applied(12L))
        assertTrue(job.chunkOf(0).isStored && job.chunkOf(40).isStored)
    }

    @Test
    fun `no value is larger than the reduced limits allow`() {
        load(
            page(
                0,
                5L,
                chunk(
                    0,
                    null,
                    *(0L until 100L).flatMap {
                        listOf<Any>(it, Long.MAX_VALUE - it, "host-${100_000 + it}")
                    }.toTypedArray(),
                ),
            ),
        )
        val puts = flush().map { putOf(it) }
        val sizes = puts.map { it.storedSize("mastil-0-abcdefgh-abcdefghijkl-99999") }
        assertTrue(sizes.all { it <= 2 * 1024 }, "$sizes")
        assertEquals(100, puts.flatMap { it.value.maps("chunks") }.sumOf { (it["on"] as List<*>).size / 3 })
    }

    private companion object {
        const val OLD_SIZE = 330
    }
}

package io.reedmast.rollout

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests the rollout as embedded in another program, with its own store and features and without a controller. */
class EmbeddedRolloutTest {
    /** Converts counters from strings to numbers. */
    private object CounterMigration : RecordMigration {
        override val scope = MigrationScope.SHARD

        override fun prefix(shard: Int) = "counter/$shard/"

        override fun forward(record: Fields): Fields = when (val count = record["count"]) {
            is Long -> record
            is String -> mapOf("count" to (count.toLongOrNull() ?: throw MalformedException("$count is no number")))
            else -> throw MalformedException("no count")
        }

        override fun backward(record: Fields): Fields = mapOf("count" to record["count"].toString())
    }

    private object UncontendedRecords : RecordAccess {
        override fun tryAcquire(path: String) = true

        override fun release(path: String, version: Long?) = Unit
    }

    private val store = MapStore()
    private var now = 0L
    private val feature = Feature(FeatureName("numbers"), FormatVersion(1), migration = CounterMigration)
    private val registry = FeatureRegistry(listOf(feature), VersionRange(FormatVersion.NONE, FormatVersion(1)))
    private val provenance = Provenance.of("a test", 0L, "a reason")
    private val fence = Precondition("counter-owner", 1L)
    private val view = RolloutView(registry, "a")

    private fun refresh() = store.items.values.forEach { view.applyRecord(it.path, it.value, it.version) }

    private fun setUp(state: GateState, records: Int) {
        store.put("counter-owner", emptyMap())
        repeat(records) { store.put("counter/0/%03d".format(it), mapOf("count" to "$it")) }
        setGate(state)
    }

    private fun setGate(state: GateState) {
        store.put(Keys.ROLLOUT, view.gates.record.withGateState(feature, state, provenance).toFields())
        refresh()
    }

    private fun reconciler(valueBytes: Int = 8_192) = MigrationReconciler(
        MigrationUnit.Shard(0),
        registry,
        store,
        UncontendedRecords,
        MigrationPace(recordIntervalMs = 10),
        {
            now
        },
    ) { valueBytes }

    private fun MigrationReconciler.run(ticks: Int) = repeat(ticks) {
        now += 10
        runOnce(view.gates, fence, view)
        refresh()
    }

    private fun counts(): List<Any?> = store.items.values.filter {
        it.path.startsWith("counter/")
    }.map { it.value["count"] }

    private fun progress() = view.progressOf(feature.name, MigrationUnit.Shard(0))?.progress

    @Test
    fun `records are migrated forward and back, and progress shows when all have been`() {
        setUp(GateState.ENABLED, records = 5)
        reconciler().run(10)
        assertEquals((0L until 5L).toList(), counts())
        assertTrue(progress()?.complete ?: false)
        setGate(GateState.REVERTING)
        reconciler().run(10)
        assertEquals((0 until 5).map { "$it" }, counts())
        assertEquals(Direction.BACKWARD, progress()?.direction)
    }

    @Test
    fun `another process continues where one has stopped`() {
        setUp(GateState.ENABLED, records = 40)
        reconciler().run(30)
        val halfway = counts().count { it is Long }
        assertTrue(halfway in 17..39, "$halfway")
        val before = store.reads
        reconciler().run(60)
        assertTrue(counts().all { it is Long })
        assertTrue(store.reads - before <= 40 - 16, "${store.reads - before} records are read again")
        assertTrue(progress()?.complete ?: false)
    }

    /** Progress that was complete before the rollback is not valid for records that have been converted back since. */
    @Test
    fun `after a rollback that is cancelled halfway, all records are migrated again`() {
        setUp(GateState.ENABLED, records = 5)
        reconciler().run(10)
        setGate(GateState.REVERTING)
        reconciler().run(4)
        assertTrue(counts().any { it is String } && counts().any { it is Long }, "${counts()}")
        setGate(GateState.ENABLED)
        reconciler().run(10)
        assertEquals((0L until 5L).toList(), counts())
        assertEquals(view.gates.record.gates.getValue(feature.name).generation, progress()?.generation)
    }

    @Test
    fun `an unreadable record is left unchanged, counted, and keeps the migration from completing`() {
        setUp(GateState.ENABLED, records = 3)
        store.put("counter/0/001", mapOf("count" to "many"))
        reconciler().run(10)
        assertEquals(listOf<Any>(0L, "many", 2L), counts())
        assertEquals(1L, progress()?.unreadable)
        assertFalse(progress()?.complete ?: true)
        store.put("counter/0/001", mapOf("count" to "1"))
        now += 60_000
        reconciler().run(10)
        assertTrue(progress()?.complete ?: false)
    }

    @Test
    fun `a record that is too large for a value after conversion is left unchanged`() {
        setUp(GateState.ENABLED, records = 2)
        reconciler(valueBytes = 20).run(10)
        assertEquals(listOf("0", "1"), counts())
        assertEquals(2L, progress()?.oversized)
    }

    @Test
    fun `writes wait while few permits are left, but not indefinitely`() {
        setUp(GateState.ENABLED, records = 2)
        store.permitLevel = 0.5
        val reconciler = reconciler().apply { run(10) }
        assertEquals(listOf("0", "1"), counts())
        // If the permit level stays low, a record is still written from time to time.
        reconciler.run(600)
        assertEquals(1, counts().count { it is Long })
        reconciler.run(600)
        assertEquals(2, counts().count { it is Long })
    }

    @Test
    fun `a write that arrives after the gate has changed, or its writer has lost the fence, changes nothing`() {
        setUp(GateState.ENABLED, records = 1)
        val held = ArrayList<() -> Unit>().also { store.heldCommits = it }
        reconciler().run(3)
        store.heldCommits = null
        setGate(GateState.REVERTING)
        held.forEach { it() }
        assertEquals(listOf("0"), counts())
        setGate(GateState.ENABLED)
        store.heldCommits = held.apply { clear() }
        reconciler().run(3)
        store.heldCommits = null
        store.put("counter-owner", emptyMap())
        assertEquals(1, held.size)
        held.forEach { it() }
        assertEquals(listOf("0"), counts())
    }

    @Test
    fun `a leader that has been replaced, or has read an outdated membership key, changes no gate`() {
        val member = MemberVersions(registry.range, mapOf(feature.name to Target.ENABLED), "life", false).toFields()
        store.put(Keys.LEADER, mapOf("label" to "a"))
        store.put(Keys.member("a"), member)
        store.put(Keys.shard(0), mapOf("owner" to "a"))
        refresh()
        val coordinator = RolloutCoordinator(registry, "a", { now }, store, view, maxPreconditions = 20) {}
        fun snapshot() = view.snapshot(
            setOf("a"),
            listOf(ShardOwnership("a", store.items.getValue(Keys.shard(0)).version)),
            emptySet(),
        )
        val seen = store.items.getValue(Keys.LEADER).version
        store.put(Keys.LEADER, mapOf("label" to "b"))
        coordinator.runOnce(seen, snapshot())
        assertEquals(null, store.items[Keys.ROLLOUT])
        val outdated = snapshot()
        store.put(Keys.member("a"), member)
        coordinator.runOnce(store.items.getValue(Keys.LEADER).version, outdated)
        assertEquals(null, store.items[Keys.ROLLOUT])
        refresh()
        coordinator.runOnce(store.items.getValue(Keys.LEADER).version, snapshot())
        assertEquals(GateState.READY, view.gates.record.stateOf(feature.name))
        val limited = RolloutCoordinator(registry, "a", { now }, store, view, maxPreconditions = 3) {}
        limited.runOnce(store.items.getValue(Keys.LEADER).version, snapshot())
        assertEquals(GateState.READY, view.gates.record.stateOf(feature.name))
        assertTrue("4 conditions" in limited.waitReasons.getValue(feature.name))
    }
}

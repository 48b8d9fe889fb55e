package io.reedmast.rollout

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.StoredItem
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Operators' acts: what is refused and why, and two operators in the same moment. */
class RolloutAdministrationTest {
    private val store = MapStore()
    private val base = Feature(FeatureName("base"), FormatVersion(1))
    private val feature = Feature(FeatureName("feature"), FormatVersion(1), setOf(base.name))
    private val registry = FeatureRegistry(listOf(base, feature), VersionRange(FormatVersion.NONE, FormatVersion(1)))
    private var owners = listOf("n0", "n1")

    private val records = object : ClusterRecords {
        override fun shardOwners(items: List<StoredItem>) = owners.mapIndexed { i, owner ->
            ShardOwnership(
                owner,
                store.items[Keys.shard(i)]?.version ?: 0L,
            )
        }

        override fun externallyFinalized(items: List<StoredItem>) = emptySet<FeatureName>()
    }
    private val administration = RolloutAdministration(registry, setOf("n0", "n1"), records, { 0L }, store)
    private val act = Attribution("somebody", "a reason")

    private fun present(label: String, drained: Boolean = false) =
        store.put(Keys.member(label), MemberVersions(registry.range, emptyMap(), "$label-life", drained).toFields())

    private fun result(act: (((AdministrationResult) -> Unit)) -> Unit): AdministrationResult? {
        var result: AdministrationResult? = null
        act { result = it }
        return result
    }

    private fun refused(reason: String, act: (((AdministrationResult) -> Unit)) -> Unit) {
        val refused = result(act) as? AdministrationResult.Refused
        assertTrue(refused?.reason?.contains(reason) ?: false, "$refused")
    }

    private fun record(): RolloutRecord =
        store.items[Keys.ROLLOUT]?.let { RolloutRecord.parse(it.value) } ?: RolloutRecord()

    @Test
    fun `an exclusion of an unknown, a living, an owning and the last controller is refused`() {
        present("n0")
        present("n1")
        refused("no controller n7") { administration.exclude("n7", act, it) }
        refused("n1 is alive") { administration.exclude("n1", act, it) }
        store.items.remove(Keys.member("n1"))
        refused("still owns shard 1") { administration.exclude("n1", act, it) }
        owners = listOf("n0", "n0")
        assertEquals(AdministrationResult.Done, result { administration.exclude("n1", act, it) })
        refused("excluded already") { administration.exclude("n1", act, it) }
        refused("the last controller") { administration.exclude("n0", act, it) }
        assertEquals(AdministrationResult.Done, result { administration.include("n1", act, it) })
        refused("not excluded") { administration.include("n1", act, it) }
    }

    @Test
    fun `an exclusion fails if the controller comes back in the same moment`() {
        owners = listOf("n0", "n0")
        present("n0")
        val held = ArrayList<() -> Unit>().also { store.hold = it }
        var result: AdministrationResult? = null
        administration.exclude("n1", act) { result = it }
        store.hold = null
        present("n1")
        held.forEach { it() }
        assertTrue(
            (result as? AdministrationResult.Refused)?.reason?.contains("c/node/n1 changed meanwhile") ?: false,
            "$result",
        )
    }

    @Test
    fun `of two operators who act at once the second is told, and the record keeps who wished what`() {
        present("n0")
        present("n1")
        val held = ArrayList<() -> Unit>().also { store.hold = it }
        var first: AdministrationResult? = null
        administration.setTarget(base.name, Target.ENABLED, Attribution("first", "early"), { first = it })
        store.hold = null
        assertEquals(
            AdministrationResult.Done,
            result {
                administration.setTarget(base.name, Target.DORMANT, Attribution("second", "late"), it)
            },
        )
        held.forEach { it() }
        assertTrue((first as? AdministrationResult.Refused)?.reason?.contains("changed meanwhile") ?: false, "$first")
        assertEquals("second", record().targetOverrides.getValue(base.name).provenance.by)
        assertEquals(listOf("base wished dormant"), record().history.map { it.change })
    }

    /**
     * An operator's act failed at times with "c/rollout changed meanwhile; look again", though nobody else had acted:
     * the leader had moved a gate between the act's reading and its write. LoopbackRolloutTest failed by it in one of
     * eight plays at a load of six to ten ("[enable, dense-pages, ...]: reedmast: c/rollout changed meanwhile"). What
     * operators decided is the same when read again, so the act goes through; the test above holds that it is refused
     * where another operator has decided something.
     */
    @Test
    fun `an act that meets a move of the leader's goes through`() {
        present("n0")
        present("n1")
        assertEquals(AdministrationResult.Done, result { administration.setTarget(base.name, Target.ENABLED, act, it) })
        val provenance = Provenance.of("leader n0", 0L, "all controllers read it")
        val held = ArrayList<() -> Unit>().also { store.hold = it }
        var result: AdministrationResult? = null
        administration.setTarget(feature.name, Target.ENABLED, act) { result = it }
        store.hold = null
        store.put(Keys.ROLLOUT, record().withGateState(base, GateState.READY, provenance).toFields())
        held.forEach { it() }
        assertEquals(AdministrationResult.Done, result)
        assertEquals(setOf(base.name, feature.name), record().targetOverrides.keys)
        assertEquals(GateState.READY, record().gates.getValue(base.name).state)
    }

    /** A leader that moves gates all the time does not keep the operator waiting for ever. */
    @Test
    fun `an act that meets moves again and again is refused in the end`() {
        present("n0")
        present("n1")
        assertEquals(AdministrationResult.Done, result { administration.setTarget(base.name, Target.ENABLED, act, it) })
        val provenance = Provenance.of("leader n0", 0L, "a move")
        var moves = 0
        val held = ArrayList<() -> Unit>().also { store.hold = it }
        var result: AdministrationResult? = null
        administration.drain("n1", act) { result = it }
        while (held.isNotEmpty()) {
            store.put(Keys.ROLLOUT, record().withGateState(base, GateState.READY, provenance).toFields())
            moves++
            held.removeFirst()()
        }
        assertTrue((result as? AdministrationResult.Refused)?.reason?.contains("changed meanwhile") ?: false, "$result")
        assertTrue(moves in 2..10, "$moves")
    }

    @Test
    fun `wishes that cannot come true are refused`() {
        refused("there is no feature") { administration.setTarget(FeatureName("other"), Target.ENABLED, act, it) }
        assertEquals(AdministrationResult.Done, result { administration.setTarget(base.name, Target.DORMANT, act, it) })
        refused("base, which is wished dormant") { administration.setTarget(feature.name, Target.ENABLED, act, it) }
        val provenance = Provenance.of("a test", 0L, "a reason")
        store.put(Keys.ROLLOUT, record().withGateState(base, GateState.FINALIZED, provenance).toFields())
        refused("is finalized") { administration.setTarget(base.name, Target.DORMANT, act, it) }
    }

    @Test
    fun `a controller may be stopped once it is drained and the others have all shards`() {
        fun reasons(label: String): String {
            var readiness: Readiness? = null
            administration.readiness(label) { readiness = it }
            return (readiness as? Readiness.NotReady)?.reasons?.joinToString().orEmpty()
        }
        present("n0")
        assertTrue("n1 is silent" in reasons("n0"))
        present("n1")
        assertTrue("n1 owns shard 1" in reasons("n1"))
        assertEquals(AdministrationResult.Done, result { administration.drain("n1", act, it) })
        refused("n1 is being drained") { administration.drain("n0", act, it) }
        assertTrue("n1 is being drained" in reasons("n0"))
        owners = listOf("n0", "n0")
        assertTrue("has not said that it is drained" in reasons("n1"))
        present("n1", drained = true)
        assertEquals("", reasons("n1"))
        assertEquals(AdministrationResult.Done, result { administration.endDrain("n1", it) })
        refused("not being drained") { administration.endDrain("n1", it) }
    }

    /**
     * A controller that happens to own no shard was not to be stopped either, but the operator was not told to drain it:
     * "n0 must not be stopped: n0 has not said that it is drained". LoopbackRolloutTest failed by it at a load of 12: at
     * the first start n2 had acquired shard 0 a moment before n0 could ("shard 0: acquired by n2, token 3145728").
     */
    @Test
    fun `whoever asks about a controller without shards is told to drain it`() {
        present("n0")
        present("n1")
        owners = listOf("n1", "n1")
        var readiness: Readiness? = null
        administration.readiness("n0") { readiness = it }
        val reasons = (readiness as? Readiness.NotReady)?.reasons.orEmpty()
        assertTrue(reasons.any { "drain it first" in it }, "$reasons")
    }

    @Test
    fun `nothing is changed while the record of the rollout cannot be read`() {
        store.put(Keys.ROLLOUT, mapOf("layout" to 99L))
        val before = store.items.toMap()
        refused("its layout is 99") { administration.setTarget(base.name, Target.ENABLED, act, it) }
        refused("its layout is 99") { administration.exclude("n1", act, it) }
        assertEquals(before, store.items.toMap())
    }

    /** The largest record that operators can bring about fits the smallest values. */
    @Test
    fun `long reasons do not make the record too large`() {
        var record = RolloutRecord()
        repeat(40) { i ->
            val provenance = Provenance.of("operator-$i", Long.MAX_VALUE, "x".repeat(500))
            record =
                record.withTargetOverride(
                    base.name,
                    Target.ENABLED,
                    provenance,
                ).withGateState(
                    base,
                    GateState.READY,
                    provenance,
                ).withTargetOverride(
                    feature.name,
                    Target.ENABLED,
                    provenance,
                ).withGateState(feature, GateState.READY, provenance)
        }
        val size = io.reedmast.wire.BodyCodec.jsonSize(record.toFields())
        assertTrue(size < 2_000, "$size")
    }
}

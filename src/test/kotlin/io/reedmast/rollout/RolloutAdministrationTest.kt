package io.reedmast.rollout

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.StoredItem
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests operators' actions: what is refused and why, and two operators acting at once. */
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
    private val attribution = Attribution("somebody", "a reason")

    private fun publishMember(label: String, drained: Boolean = false) =
        store.put(Keys.member(label), MemberVersions(registry.range, emptyMap(), "$label-life", drained).toFields())

    private fun result(action: (((AdministrationResult) -> Unit)) -> Unit): AdministrationResult? {
        var result: AdministrationResult? = null
        action { result = it }
        return result
    }

    private fun assertRefused(reason: String, action: (((AdministrationResult) -> Unit)) -> Unit) {
        val refused = result(action) as? AdministrationResult.Refused
        assertTrue(refused?.reason?.contains(reason) ?: false, "$refused")
    }

    private fun record(): RolloutRecord =
        store.items[Keys.ROLLOUT]?.let { RolloutRecord.parse(it.value) } ?: RolloutRecord()

    @Test
    fun `excluding a controller that is unknown, alive, owns a shard or is the last one is refused`() {
        publishMember("n0")
        publishMember("n1")
        assertRefused("no controller n7") { administration.exclude("n7", attribution, it) }
        assertRefused("n1 is alive") { administration.exclude("n1", attribution, it) }
        store.items.remove(Keys.member("n1"))
        assertRefused("still owns shard 1") { administration.exclude("n1", attribution, it) }
        owners = listOf("n0", "n0")
        assertEquals(AdministrationResult.Done, result { administration.exclude("n1", attribution, it) })
        assertRefused("excluded already") { administration.exclude("n1", attribution, it) }
        assertRefused("the last controller") { administration.exclude("n0", attribution, it) }
        assertEquals(AdministrationResult.Done, result { administration.include("n1", attribution, it) })
        assertRefused("not excluded") { administration.include("n1", attribution, it) }
    }

    @Test
    fun `an exclusion fails if the controller returns before it is stored`() {
        owners = listOf("n0", "n0")
        publishMember("n0")
        val held = ArrayList<() -> Unit>().also { store.heldCommits = it }
        var result: AdministrationResult? = null
        administration.exclude("n1", attribution) { result = it }
        store.heldCommits = null
        publishMember("n1")
        held.forEach { it() }
        assertTrue(
            (result as? AdministrationResult.Refused)?.reason?.contains("c/node/n1 changed meanwhile") ?: false,
            "$result",
        )
    }

    @Test
    fun `of two operators who act at once one is refused, and the record shows whose target it has`() {
        publishMember("n0")
        publishMember("n1")
        val held = ArrayList<() -> Unit>().also { store.heldCommits = it }
        var first: AdministrationResult? = null
        administration.setTarget(base.name, Target.ENABLED, Attribution("first", "early"), { first = it })
        store.heldCommits = null
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
     * Guards against an operator's action that fails with "c/rollout changed meanwhile; look again" although no other
     * operator has acted: the leader has changed a gate between the action's read and its write. LoopbackRolloutTest
     * failed by this in one of eight runs at a load of six to ten ("[enable, dense-pages, ...]: reedmast: c/rollout
     * changed meanwhile"). The operators' decisions are the same when read again, so the action succeeds; the test
     * above checks that it is refused if another operator has decided something.
     */
    @Test
    fun `an action that conflicts with a gate transition by the leader succeeds`() {
        publishMember("n0")
        publishMember("n1")
        assertEquals(
            AdministrationResult.Done,
            result {
                administration.setTarget(base.name, Target.ENABLED, attribution, it)
            },
        )
        val provenance = Provenance.of("leader n0", 0L, "all controllers read it")
        val held = ArrayList<() -> Unit>().also { store.heldCommits = it }
        var result: AdministrationResult? = null
        administration.setTarget(feature.name, Target.ENABLED, attribution) { result = it }
        store.heldCommits = null
        store.put(Keys.ROLLOUT, record().withGateState(base, GateState.READY, provenance).toFields())
        held.forEach { it() }
        assertEquals(AdministrationResult.Done, result)
        assertEquals(setOf(base.name, feature.name), record().targetOverrides.keys)
        assertEquals(GateState.READY, record().gates.getValue(base.name).state)
    }

    /** A leader that changes gates continually does not keep the operator waiting indefinitely. */
    @Test
    fun `an action that keeps conflicting with gate transitions is refused after a few attempts`() {
        publishMember("n0")
        publishMember("n1")
        assertEquals(
            AdministrationResult.Done,
            result {
                administration.setTarget(base.name, Target.ENABLED, attribution, it)
            },
        )
        val provenance = Provenance.of("leader n0", 0L, "a move")
        var moves = 0
        val held = ArrayList<() -> Unit>().also { store.heldCommits = it }
        var result: AdministrationResult? = null
        administration.drain("n1", attribution) { result = it }
        while (held.isNotEmpty()) {
            store.put(Keys.ROLLOUT, record().withGateState(base, GateState.READY, provenance).toFields())
            moves++
            held.removeFirst()()
        }
        assertTrue((result as? AdministrationResult.Refused)?.reason?.contains("changed meanwhile") ?: false, "$result")
        assertTrue(moves in 2..10, "$moves")
    }

    @Test
    fun `targets that cannot be reached are refused`() {
        assertRefused("there is no feature") {
            administration.setTarget(FeatureName("other"), Target.ENABLED, attribution, it)
        }
        assertEquals(
            AdministrationResult.Done,
            result {
                administration.setTarget(base.name, Target.DORMANT, attribution, it)
            },
        )
        assertRefused("base, which is wished dormant") {
            administration.setTarget(feature.name, Target.ENABLED, attribution, it)
        }
        val provenance = Provenance.of("a test", 0L, "a reason")
        store.put(Keys.ROLLOUT, record().withGateState(base, GateState.FINALIZED, provenance).toFields())
        assertRefused("is finalized") { administration.setTarget(base.name, Target.DORMANT, attribution, it) }
    }

    @Test
    fun `a controller may be stopped once it is drained and the others own all shards`() {
        fun reasons(label: String): String {
            var readiness: Readiness? = null
            administration.readiness(label) { readiness = it }
            return (readiness as? Readiness.NotReady)?.reasons?.joinToString().orEmpty()
        }
        publishMember("n0")
        assertTrue("n1 is silent" in reasons("n0"))
        publishMember("n1")
        assertTrue("n1 owns shard 1" in reasons("n1"))
        assertEquals(AdministrationResult.Done, result { administration.drain("n1", attribution, it) })
        assertRefused("n1 is being drained") { administration.drain("n0", attribution, it) }
        assertTrue("n1 is being drained" in reasons("n0"))
        owners = listOf("n0", "n0")
        assertTrue("has not said that it is drained" in reasons("n1"))
        publishMember("n1", drained = true)
        assertEquals("", reasons("n1"))
        assertEquals(AdministrationResult.Done, result { administration.endDrain("n1", it) })
        assertRefused("not being drained") { administration.endDrain("n1", it) }
    }

    /**
     * Guards against an answer that does not tell the operator to drain a controller which happens to own no shard and
     * still must not be stopped: "n0 must not be stopped: n0 has not said that it is drained". LoopbackRolloutTest
     * failed by this at a load of 12: at the first start n2 had acquired shard 0 just before n0 could ("shard 0:
     * acquired by n2, token 3145728").
     */
    @Test
    fun `a query whether a controller without shards may be stopped says to drain it first`() {
        publishMember("n0")
        publishMember("n1")
        owners = listOf("n1", "n1")
        var readiness: Readiness? = null
        administration.readiness("n0") { readiness = it }
        val reasons = (readiness as? Readiness.NotReady)?.reasons.orEmpty()
        assertTrue(reasons.any { "drain it first" in it }, "$reasons")
    }

    @Test
    fun `nothing is changed while the rollout record cannot be read`() {
        store.put(Keys.ROLLOUT, mapOf("layout" to 99L))
        val before = store.items.toMap()
        assertRefused("its layout is 99") { administration.setTarget(base.name, Target.ENABLED, attribution, it) }
        assertRefused("its layout is 99") { administration.exclude("n1", attribution, it) }
        assertEquals(before, store.items.toMap())
    }

    /** The largest record that operators can cause fits the smallest limit on the size of a value. */
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

package io.reedmast.rollout

import io.reedmast.kvstore.Keys
import io.reedmast.wire.Fields
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows

/** Which gate moves, and why the others stay, in pictures of the cluster that are made by hand. */
class RolloutPlannerTest {
    private object ShardRecords : RecordMigration {
        override val scope = MigrationScope.SHARD

        override fun prefix(shard: Int) = "page/$shard/"

        override fun forward(record: Fields) = record

        override fun backward(record: Fields) = record
    }

    private val base = Feature(FeatureName("base"), FormatVersion(2))
    private val feature = Feature(FeatureName("feature"), FormatVersion(3), setOf(base.name), migration = ShardRecords)
    private val fixed = Feature(FeatureName("fixed"), FormatVersion(3), revertible = false)
    private val registry =
        FeatureRegistry(listOf(feature, base, fixed), VersionRange(FormatVersion.NONE, FormatVersion(3)))
    private val decision = RolloutPlanner(registry)
    private val act = Provenance.of("somebody", 0L, "a reason")

    private fun member(newest: Int, desired: Map<FeatureName, Target> = emptyMap(), oldest: Int = 0) = PresentMember(
        MemberVersions(VersionRange(FormatVersion(oldest), FormatVersion(newest)), desired, "life", false),
        10L + newest,
    )

    private fun snapshot(
        present: Map<String, PresentMember> = listOf("n0", "n1", "n2").associateWith { member(3) },
        owners: List<String?> = listOf("n0", "n1", "n2"),
        progress: Map<Pair<FeatureName, MigrationUnit>, MigrationProgress> = emptyMap(),
    ) = ClusterSnapshot(
        setOf("n0", "n1", "n2"),
        present,
        owners.mapIndexed { i, owner ->
            owner?.let {
                ShardOwnership(
                    it,
                    100L + i,
                )
            }
        },
        progress,
    )

    private fun record(vararg states: Pair<Feature, GateState>) = states.fold(RolloutRecord()) { record, (of, state) ->
        record.withGateState(of, state, act)
    }

    private fun RolloutRecord.withTarget(of: Feature, target: Target) = withTargetOverride(of.name, target, act)

    private fun complete(direction: Direction, generation: Long, vararg units: Int) = units.associate {
        (feature.name to MigrationUnit.Shard(it) as MigrationUnit) to
            MigrationProgress(direction, generation, complete = true)
    }

    private fun RolloutPlan.moves(to: GateState, of: Feature = feature) {
        assertEquals(of.name to to, move?.let { it.feature.name to it.to }, "$waitReasons")
    }

    private fun RolloutPlan.waits(reason: String, of: Feature = feature) {
        assertNull(move)
        assertTrue(waitReasons[of.name]?.contains(reason) ?: false, "$waitReasons")
    }

    @Test
    fun `nothing moves that nobody wishes`() {
        val plan = decision.plan(RolloutRecord(), snapshot())
        assertNull(plan.move)
        assertEquals(emptyMap<FeatureName, String>(), plan.waitReasons)
    }

    @Test
    fun `a gate is ready once every counted controller is there and reads the form`() {
        val wished = record().withTarget(base, Target.ENABLED)
        decision.plan(wished, snapshot()).moves(GateState.READY, base)
        decision.plan(
            wished,
            snapshot(present = mapOf("n0" to member(3), "n1" to member(3))),
        ).waits("n2 is silent", base)
        decision.plan(
            wished,
            snapshot(present = mapOf("n0" to member(3), "n1" to member(1), "n2" to member(3))),
        ).waits("n1 has versions 0 to 1", base)
        val without = wished.withExcluded("n2", act)
        decision.plan(
            without,
            snapshot(present = mapOf("n0" to member(3), "n1" to member(3))),
        ).moves(GateState.READY, base)
    }

    @Test
    fun `a ready gate closes again when a controller goes back`() {
        val ready = record(base to GateState.READY).withTarget(base, Target.ENABLED)
        decision.plan(
            ready,
            snapshot(present = mapOf("n0" to member(3), "n1" to member(1), "n2" to member(3))),
        ).moves(GateState.DORMANT, base)
    }

    @Test
    fun `enabling is on condition of every controller's key and every shard's owner`() {
        val ready = record(base to GateState.READY).withTarget(base, Target.ENABLED)
        val move = decision.plan(ready, snapshot()).also { it.moves(GateState.ENABLED, base) }.move
        assertEquals(
            listOf("n0", "n1", "n2").map { Keys.member(it) to 13L } + (0..2).map { Keys.shard(it) to 100L + it },
            move?.preconditions?.map { it.path to it.version },
        )
    }

    @Test
    fun `no gate is enabled while a controller that does not count owns a shard`() {
        val ready = record(base to GateState.READY).withTarget(base, Target.ENABLED).withExcluded("n2", act)
        decision.plan(ready, snapshot()).waits("shard 2 is owned by n2", base)
    }

    @Test
    fun `a feature waits for its dependency, and for the migration of that`() {
        val wished = record(feature to GateState.READY, base to GateState.READY).withTarget(feature, Target.ENABLED)
        decision.plan(wished, snapshot()).waits("base is not enabled")
        decision.plan(wished.withGateState(base, GateState.ENABLED, act), snapshot()).moves(GateState.ENABLED)
    }

    @Test
    fun `a feature is not finalized before all units are migrated in the gate's own generation`() {
        val enabled = record(
            base to GateState.FINALIZED,
            feature to GateState.READY,
            feature to GateState.ENABLED,
        ).withTarget(feature, Target.FINALIZED)
        decision.plan(enabled, snapshot(progress = complete(Direction.FORWARD, 2, 0, 1))).waits("being migrated")
        decision.plan(enabled, snapshot(progress = complete(Direction.FORWARD, 1, 0, 1, 2))).waits("being migrated")
        decision.plan(enabled, snapshot(progress = complete(Direction.BACKWARD, 2, 0, 1, 2))).waits("being migrated")
        decision.plan(enabled, snapshot(progress = complete(Direction.FORWARD, 2, 0, 1, 2))).moves(GateState.FINALIZED)
        val blocked = mapOf(
            (feature.name to MigrationUnit.Shard(1) as MigrationUnit) to
                MigrationProgress(Direction.FORWARD, 2, unreadable = 4),
        )
        decision.plan(enabled, snapshot(progress = blocked)).waits("4 records cannot be migrated")
    }

    @Test
    fun `a feature is not finalized before its dependency is`() {
        val enabled = record(
            base to GateState.ENABLED,
            feature to GateState.ENABLED,
        ).withTarget(feature, Target.FINALIZED)
        decision.plan(
            enabled,
            snapshot(progress = complete(Direction.FORWARD, 1, 0, 1, 2)),
        ).waits("base is not finalized")
    }

    @Test
    fun `going back takes records back before the gate closes`() {
        val enabled = record(
            base to GateState.ENABLED,
            feature to GateState.ENABLED,
        ).withTarget(feature, Target.DORMANT)
        decision.plan(enabled, snapshot()).moves(GateState.REVERTING)
        val reverting = enabled.withGateState(feature, GateState.REVERTING, act)
        decision.plan(reverting, snapshot(progress = complete(Direction.BACKWARD, 2, 0, 2))).waits("being migrated")
        decision.plan(reverting, snapshot(progress = complete(Direction.BACKWARD, 2, 0, 1, 2))).moves(GateState.DORMANT)
        decision.plan(reverting.withTarget(feature, Target.ENABLED), snapshot()).moves(GateState.ENABLED)
    }

    @Test
    fun `what others depend on, is finalized or cannot be taken back stays`() {
        val both = record(base to GateState.ENABLED, feature to GateState.ENABLED).withTarget(base, Target.DORMANT)
        decision.plan(both, snapshot()).waits("feature depends on it", base)
        decision.plan(
            record(base to GateState.FINALIZED).withTarget(base, Target.DORMANT),
            snapshot(),
        ).waits("it is finalized", base)
        decision.plan(
            record(fixed to GateState.ENABLED).withTarget(fixed, Target.DORMANT),
            snapshot(),
        ).waits("cannot be taken back", fixed)
    }

    @Test
    fun `deploy files that differ move nothing, and an operator's wish goes before them`() {
        val enabled = mapOf(base.name to Target.ENABLED)
        val differ =
            snapshot(present = mapOf("n0" to member(3, enabled), "n1" to member(3), "n2" to member(3, enabled)))
        decision.plan(RolloutRecord(), differ).waits("the deploy files differ", base)
        decision.plan(record().withTarget(base, Target.ENABLED), differ).moves(GateState.READY, base)
        val agree = snapshot(present = listOf("n0", "n1", "n2").associateWith { member(3, enabled) })
        decision.plan(RolloutRecord(), agree).moves(GateState.READY, base)
        assertNull(decision.plan(record(base to GateState.READY).withTarget(base, Target.DORMANT), agree).move)
    }

    @Test
    fun `a process is admitted by the versions that are in use`() {
        val range = VersionRange(FormatVersion(1), FormatVersion(2))
        assertEquals(Admission.Admitted, Admission.of("n0", range, RolloutRecord()))
        assertTrue(Admission.of("n0", range, record(feature to GateState.REVERTING)) is Admission.Incompatible)
        assertEquals(
            Admission.Admitted,
            Admission.of(
                "n0",
                range,
                record(
                    base to GateState.FINALIZED,
                    feature to GateState.READY,
                ),
            ),
        )
        assertTrue(Admission.of("n0", range, record(base to GateState.ENABLED)) is Admission.Incompatible)
        assertEquals(
            Admission.Excluded,
            Admission.of("n0", range, record(base to GateState.FINALIZED).withExcluded("n0", act)),
        )
        assertEquals(
            Admission.Admitted,
            Admission.of("n1", range, record(base to GateState.FINALIZED).withExcluded("n0", act)),
        )
    }

    @Test
    fun `a registry with a cycle, a double or an unknown dependency is refused`() {
        val range = VersionRange(FormatVersion.NONE, FormatVersion(3))
        val a = Feature(FeatureName("a"), FormatVersion(1), setOf(FeatureName("b")))
        val b = Feature(FeatureName("b"), FormatVersion(1), setOf(FeatureName("a")))
        assertThrows<IllegalArgumentException> { FeatureRegistry(listOf(a, b), range) }
        assertThrows<IllegalArgumentException> { FeatureRegistry(listOf(a), range) }
        assertThrows<IllegalArgumentException> { FeatureRegistry(listOf(base, base), range) }
        assertThrows<IllegalArgumentException> {
            FeatureRegistry(listOf(Feature(FeatureName("late"), FormatVersion(4))), range)
        }
    }
}

package io.reedmast.rollout

import io.reedmast.kvstore.Keys
import io.reedmast.wire.Fields
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows

/** Tests which gate changes, and why the others keep their state, on hand-made snapshots of the cluster. */
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
    private val planner = RolloutPlanner(registry)
    private val provenance = Provenance.of("somebody", 0L, "a reason")

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
        record.withGateState(of, state, provenance)
    }

    private fun RolloutRecord.withTarget(of: Feature, target: Target) = withTargetOverride(of.name, target, provenance)

    private fun completeProgress(direction: Direction, generation: Long, vararg units: Int) = units.associate {
        (feature.name to MigrationUnit.Shard(it) as MigrationUnit) to
            MigrationProgress(direction, generation, complete = true)
    }

    private fun RolloutPlan.assertTransition(to: GateState, of: Feature = feature) {
        assertEquals(of.name to to, transition?.let { it.feature.name to it.to }, "$waitReasons")
    }

    private fun RolloutPlan.assertWaits(reason: String, of: Feature = feature) {
        assertNull(transition)
        assertTrue(waitReasons[of.name]?.contains(reason) ?: false, "$waitReasons")
    }

    @Test
    fun `no gate changes without a requested target`() {
        val plan = planner.plan(RolloutRecord(), snapshot())
        assertNull(plan.transition)
        assertEquals(emptyMap<FeatureName, String>(), plan.waitReasons)
    }

    @Test
    fun `a gate is ready once every participating controller is present and reads the format`() {
        val requested = record().withTarget(base, Target.ENABLED)
        planner.plan(requested, snapshot()).assertTransition(GateState.READY, base)
        planner.plan(
            requested,
            snapshot(present = mapOf("n0" to member(3), "n1" to member(3))),
        ).assertWaits("n2 is silent", base)
        planner.plan(
            requested,
            snapshot(present = mapOf("n0" to member(3), "n1" to member(1), "n2" to member(3))),
        ).assertWaits("n1 has versions 0 to 1", base)
        val without = requested.withExcluded("n2", provenance)
        planner.plan(
            without,
            snapshot(present = mapOf("n0" to member(3), "n1" to member(3))),
        ).assertTransition(GateState.READY, base)
    }

    @Test
    fun `a ready gate becomes dormant again when a controller returns to an earlier version`() {
        val ready = record(base to GateState.READY).withTarget(base, Target.ENABLED)
        planner.plan(
            ready,
            snapshot(present = mapOf("n0" to member(3), "n1" to member(1), "n2" to member(3))),
        ).assertTransition(GateState.DORMANT, base)
    }

    @Test
    fun `enabling has preconditions on every controller's key and every shard's owner`() {
        val ready = record(base to GateState.READY).withTarget(base, Target.ENABLED)
        val transition = planner.plan(ready, snapshot()).also {
            it.assertTransition(GateState.ENABLED, base)
        }.transition
        assertEquals(
            listOf("n0", "n1", "n2").map { Keys.member(it) to 13L } + (0..2).map { Keys.shard(it) to 100L + it },
            transition?.preconditions?.map { it.path to it.version },
        )
    }

    @Test
    fun `no gate is enabled while an excluded controller owns a shard`() {
        val ready = record(base to GateState.READY).withTarget(base, Target.ENABLED).withExcluded("n2", provenance)
        planner.plan(ready, snapshot()).assertWaits("shard 2 is owned by n2", base)
    }

    @Test
    fun `a feature waits for its dependency, and for the dependency's migration`() {
        val requested = record(feature to GateState.READY, base to GateState.READY).withTarget(feature, Target.ENABLED)
        planner.plan(requested, snapshot()).assertWaits("base is not enabled")
        planner.plan(
            requested.withGateState(base, GateState.ENABLED, provenance),
            snapshot(),
        ).assertTransition(GateState.ENABLED)
    }

    @Test
    fun `a feature is not finalized before all units are migrated in the gate's current generation`() {
        val enabled = record(
            base to GateState.FINALIZED,
            feature to GateState.READY,
            feature to GateState.ENABLED,
        ).withTarget(feature, Target.FINALIZED)
        planner.plan(
            enabled,
            snapshot(progress = completeProgress(Direction.FORWARD, 2, 0, 1)),
        ).assertWaits("being migrated")
        planner.plan(
            enabled,
            snapshot(progress = completeProgress(Direction.FORWARD, 1, 0, 1, 2)),
        ).assertWaits("being migrated")
        planner.plan(
            enabled,
            snapshot(progress = completeProgress(Direction.BACKWARD, 2, 0, 1, 2)),
        ).assertWaits("being migrated")
        planner.plan(
            enabled,
            snapshot(progress = completeProgress(Direction.FORWARD, 2, 0, 1, 2)),
        ).assertTransition(GateState.FINALIZED)
        val blocked = mapOf(
            (feature.name to MigrationUnit.Shard(1) as MigrationUnit) to
                MigrationProgress(Direction.FORWARD, 2, unreadable = 4),
        )
        planner.plan(enabled, snapshot(progress = blocked)).assertWaits("4 records cannot be migrated")
    }

    @Test
    fun `a feature is not finalized before its dependency is`() {
        val enabled = record(
            base to GateState.ENABLED,
            feature to GateState.ENABLED,
        ).withTarget(feature, Target.FINALIZED)
        planner.plan(
            enabled,
            snapshot(progress = completeProgress(Direction.FORWARD, 1, 0, 1, 2)),
        ).assertWaits("base is not finalized")
    }

    @Test
    fun `a feature that is reverted becomes dormant only after its records are converted back`() {
        val enabled = record(
            base to GateState.ENABLED,
            feature to GateState.ENABLED,
        ).withTarget(feature, Target.DORMANT)
        planner.plan(enabled, snapshot()).assertTransition(GateState.REVERTING)
        val reverting = enabled.withGateState(feature, GateState.REVERTING, provenance)
        planner.plan(
            reverting,
            snapshot(progress = completeProgress(Direction.BACKWARD, 2, 0, 2)),
        ).assertWaits("being migrated")
        planner.plan(
            reverting,
            snapshot(progress = completeProgress(Direction.BACKWARD, 2, 0, 1, 2)),
        ).assertTransition(GateState.DORMANT)
        planner.plan(reverting.withTarget(feature, Target.ENABLED), snapshot()).assertTransition(GateState.ENABLED)
    }

    @Test
    fun `a feature that others depend on, is finalized or is not revertible cannot be reverted`() {
        val both = record(base to GateState.ENABLED, feature to GateState.ENABLED).withTarget(base, Target.DORMANT)
        planner.plan(both, snapshot()).assertWaits("feature depends on it", base)
        planner.plan(
            record(base to GateState.FINALIZED).withTarget(base, Target.DORMANT),
            snapshot(),
        ).assertWaits("it is finalized", base)
        planner.plan(
            record(fixed to GateState.ENABLED).withTarget(fixed, Target.DORMANT),
            snapshot(),
        ).assertWaits("cannot be taken back", fixed)
    }

    @Test
    fun `deploy files that differ change no gate, and an operator's target takes precedence over them`() {
        val enabled = mapOf(base.name to Target.ENABLED)
        val differ =
            snapshot(present = mapOf("n0" to member(3, enabled), "n1" to member(3), "n2" to member(3, enabled)))
        planner.plan(RolloutRecord(), differ).assertWaits("the deploy files differ", base)
        planner.plan(record().withTarget(base, Target.ENABLED), differ).assertTransition(GateState.READY, base)
        val agree = snapshot(present = listOf("n0", "n1", "n2").associateWith { member(3, enabled) })
        planner.plan(RolloutRecord(), agree).assertTransition(GateState.READY, base)
        assertNull(planner.plan(record(base to GateState.READY).withTarget(base, Target.DORMANT), agree).transition)
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
            Admission.of("n0", range, record(base to GateState.FINALIZED).withExcluded("n0", provenance)),
        )
        assertEquals(
            Admission.Admitted,
            Admission.of("n1", range, record(base to GateState.FINALIZED).withExcluded("n0", provenance)),
        )
    }

    @Test
    fun `a registry with a cycle, a duplicate, an unknown dependency or an unsupported version is rejected`() {
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

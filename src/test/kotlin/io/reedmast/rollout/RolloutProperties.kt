package io.reedmast.rollout

import io.reedmast.sim.Scenario
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/**
 * Generated sequences of replacements, crashes, freezes, rollbacks, lost answers and other faults, run by real
 * controllers in the simulated world.
 *
 * The world checks every stored format, every page that is read and every gate transition (RolloutRules) besides the
 * rules of the protocol. At the end the gates must be in the states that a model predicts, and no service may have been
 * placed again without need. A failing sequence is shrunk to a short one and printed as a scenario.
 */
class RolloutProperties {
    /** An action that happens [afterMs] after the previous one. */
    data class Step(val afterMs: Long, val action: Action)

    /** An operator's action or a fault, as lines of a scenario. */
    sealed interface Action {
        fun lines(at: Double): List<String>
    }

    data class ReplaceController(val node: Int, val version: Int, val downMs: Long) : Action {
        override fun lines(at: Double) =
            listOf("at $at version n$node $version", "at ${at + downMs / 1000.0} start n$node")
    }

    data class SetTarget(val feature: String, val target: Target) : Action {
        override fun lines(at: Double) =
            listOf("at $at operator ${if (target == Target.ENABLED) "enable" else "revert"} $feature any-result")
    }

    data class Fault(val line: String) : Action {
        override fun lines(at: Double) = listOf("at $at $line")
    }

    private val features = listOf("fenced-tokens", "dense-pages")

    @Provide
    fun steps(): Arbitrary<List<Step>> {
        val nodes = Arbitraries.integers().between(0, MEMBERS - 1)
        val replacements = Combinators.combine(
            nodes,
            Arbitraries.integers().between(1, 3),
            Arbitraries.longs().between(100, 9_000),
        ).`as`(::ReplaceController)
        val targets = Combinators.combine(
            Arbitraries.of(features),
            Arbitraries.of(Target.ENABLED, Target.ENABLED, Target.DORMANT),
        ).`as`(::SetTarget)
        val keys = Arbitraries.of("c/rollout", "c/token", "c/migration", "page/", "c/slice", "c/node")
        val lost = Combinators.combine(nodes, keys).`as` { node, key -> Fault("lose-commit-reply n$node $key") }
        val late = Combinators.combine(nodes, Arbitraries.integers().between(1, 20), keys).`as` { node, s, key ->
            Fault("delay-commit n$node $s $key")
        }
        val frozen = Combinators.combine(nodes, Arbitraries.integers().between(1, 20)).`as` { node, s ->
            Fault("pause n$node $s")
        }
        val outages = Arbitraries.integers().between(1, 8).map { Fault("store-outage $it") }
        val excluded = nodes.map { Fault("operator exclude n$it any-result") }
        val drained = nodes.map { Fault("operator drain n$it any-result") }
        val actions = Arbitraries.oneOf(replacements, targets, targets, lost, late, frozen, outages, excluded, drained)
        return Combinators.combine(Arbitraries.longs().between(0, 6_000), actions).`as` { ms, action ->
            Step(ms, action as Action)
        }.list().ofMinSize(1).ofMaxSize(14)
    }

    /**
     * The states that the gates reach once every controller has the new version and nothing blocks them: those of the
     * last targets that were not refused at once.
     */
    private class GateModel {
        private val targets = HashMap<String, Target>()

        fun settle(final: Target): Map<String, String> {
            targets["fenced-tokens"] = final
            targets["dense-pages"] = final
            return targets.mapValues { if (it.value == Target.ENABLED) "enabled" else "reverted" }
        }
    }

    private fun scenario(steps: List<Step>, final: Target): List<String> {
        val events = ArrayList<String>()
        var at = START_S
        for (step in steps) {
            at = Math.round((at + step.afterMs / 1000.0) * 1000) / 1000.0
            events.addAll(step.action.lines(at))
        }
        val end = Math.ceil(at) + MAX_FAULT_DURATION_S
        for (node in 0 until MEMBERS) {
            events.addAll(
                listOf("at ${end + node} version n$node 3", "at ${end + node + 0.3} start n$node"),
            )
        }
        val order = if (final == Target.ENABLED) features else features.reversed()
        order.forEachIndexed { i, feature ->
            events.addAll(SetTarget(feature, final).lines(end + 10 + i * if (final == Target.ENABLED) 0 else 45))
        }
        GateModel().settle(final).forEach { (feature, state) ->
            events.add("at ${end + 90} expect gate $feature $state")
        }
        events.add("at ${end + 90} expect form token ${if (final == Target.ENABLED) "fenced" else "open"}")
        events.add("at ${end + 91} expect running wk-1 $TASKS")
        events.add("at ${end + 91} expect all-jobs-answered")
        return head + events.sortedBy { it.split(' ')[1].toDouble() }
    }

    private fun run(steps: List<Step>, final: Target) {
        val lines = scenario(steps, final)
        try {
            Scenario(lines).run()
        } catch (e: AssertionError) {
            throw AssertionError("${e.message}\n${lines.joinToString("\n")}", e)
        }
    }

    @Property(tries = 60, seed = "2001")
    fun `whatever the sequence, formats are readable to all participants and the gates settle`(
        @ForAll("steps") steps: List<Step>,
        @ForAll last: Boolean,
    ) = run(steps, if (last) Target.ENABLED else Target.DORMANT)

    @Test
    fun `a sequence without faults runs as written`() =
        assertEquals(Unit, run(listOf(Step(0, SetTarget("fenced-tokens", Target.ENABLED))), Target.ENABLED))

    private companion object {
        const val MEMBERS = 3
        const val TASKS = 12
        const val START_S = 12.0

        /** By this time late transactions have been carried out and freezes have ended. */
        const val MAX_FAULT_DURATION_S = 30.0
        val head = listOf(
            "controllers 3",
            "value-kb 2",
            "versions n0=2 n1=2 n2=2",
            "team a 40 60",
            "team b 40 60",
            "team c 40 60",
            "machine-type m 8 5",
            "machines 10 m x",
            "at 1 submit wk-1 kind=service team=a tasks=$TASKS priority=urgent retry=true",
            "at 1 submit wk-2 kind=service team=b tasks=8 priority=urgent retry=true",
            "at 1 submit wk-3 team=c tasks=30 run=20 retry=true",
        )
    }
}

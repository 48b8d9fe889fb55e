package io.reedmast

import io.reedmast.sim.LaunchCopiesDay
import io.reedmast.sim.Scenario
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/**
 * Random scenarios in which late copies of direct calls arrive after the calls were carried out and answered.
 *
 * Guards against a task that runs on two machines at once, and a cancelled task that runs again, because a copy of its
 * launch starts an attempt that the worker was told to forget.
 */
class LaunchCopiesTest {
    @TestFactory
    fun `scenarios with copies of direct calls`(): List<DynamicTest> = seeds().map { seed ->
        DynamicTest.dynamicTest("copies day $seed") { run(seed) }
    }

    private fun run(seed: Long) {
        val lines = LaunchCopiesDay(seed).lines()
        try {
            Scenario(lines).run()
        } catch (e: AssertionError) {
            throw AssertionError("copies day $seed: ${e.message}\n${lines.joinToString("\n")}", e)
        }
    }

    /** The seeds that are always run, or those in the environment variable COPIES_SEEDS, such as 100-2000. */
    private fun seeds(): LongRange {
        val (from, to) = (System.getenv("COPIES_SEEDS") ?: return 1L..DAYS).split('-').map { it.toLong() }
        return from..to
    }

    private companion object {
        const val DAYS = 60L
    }
}

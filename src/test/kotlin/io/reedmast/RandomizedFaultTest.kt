package io.reedmast

import io.reedmast.sim.RandomDay
import io.reedmast.sim.Scenario
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/**
 * Days on which troubles meet as chance has it, in the stand-in world. A day is a scenario like those of the files,
 * made from its seed, so that one which fails can be printed, cut down and kept as a file.
 *
 * All rules are checked throughout; once the troubles are over, every controller answers about every job, no job is
 * neglected, and all that was accepted has run.
 */
class RandomizedFaultTest {
    @TestFactory
    fun days(): List<DynamicTest> = play("day") { RandomDay(it) }

    @TestFactory
    fun `days with gangs`(): List<DynamicTest> = play("gang day") { RandomDay(it, gangs = true) }

    /** Controllers are upgraded one after the other, and at some moment after the last one the store takes less. */
    @TestFactory
    fun `days of an upgrade`(): List<DynamicTest> = play("upgrade day") { RandomDay(it, gangs = true, upgrade = true) }

    /**
     * Features are rolled out and taken back by operators who oppose each other, while controllers are replaced by
     * other versions.
     */
    @TestFactory
    fun `days of a rollout`(): List<DynamicTest> = play("rollout day") { RandomDay(it, rollout = true) }

    /** Machines boot at once, and answers to rentals are late or lost: workers report before anybody expects them. */
    @TestFactory
    fun `days of slow rentals`(): List<DynamicTest> = play("rental day") { RandomDay(it, rentals = true) }

    /** An earlier version has put machines into the records of two shards, with work on them or without. */
    @TestFactory
    fun `days of contested machines`(): List<DynamicTest> = play("contested day") { RandomDay(it, contested = true) }

    private fun play(name: String, day: (Long) -> RandomDay): List<DynamicTest> = seeds().map { seed ->
        DynamicTest.dynamicTest("$name $seed") {
            val lines = day(seed).lines()
            try {
                Scenario(lines).run()
            } catch (e: AssertionError) {
                throw AssertionError("$name $seed: ${e.message}\n${lines.joinToString("\n")}", e)
            }
        }
    }

    /**
     * The days that are always played, or, to look for more, those that the variable FAULT_SEEDS names (as in
     * 100-2000).
     */
    private fun seeds(): LongRange {
        val (from, to) = (System.getenv("FAULT_SEEDS") ?: return 1L..DAYS).split('-').map { it.toLong() }
        return from..to
    }

    private companion object {
        const val DAYS = 60L
    }
}

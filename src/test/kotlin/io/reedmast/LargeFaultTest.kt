package io.reedmast

import io.reedmast.sim.LargeDay
import io.reedmast.sim.Scenario
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/**
 * Days by chance at production size: hundreds of machines and jobs, the store's true limits, records that fill many
 * values and many pages of a listing, and troubles over each other.
 *
 * At size the changes of a moment share transactions, watches fall so far behind that everything is read anew, and
 * listings are read page by page while their keys change. No day of a few machines meets any of that.
 */
class LargeFaultTest {
    @TestFactory
    fun days(): List<DynamicTest> = seeds().map { seed -> play("day $seed", LargeDay(seed)) }

    /** Controllers are upgraded among the other troubles, gangs come after that, and the store lowers its limits. */
    @TestFactory
    fun `days of an upgrade`(): List<DynamicTest> = seeds(UPGRADE_DAYS).map { seed ->
        play("upgrade day $seed", LargeDay(seed, upgrade = true))
    }

    /**
     * After the upgrade features are rolled out and taken back under the other troubles; in the end they are enabled.
     */
    @TestFactory
    fun `days of a rollout`(): List<DynamicTest> = seeds(ROLLOUT_DAYS).map { seed ->
        play("rollout day $seed", LargeDay(seed, upgrade = true, rollout = true))
    }

    /** Most machines are rented during the day, and their workers report before the rentals are answered. */
    @TestFactory
    fun `days of slow rentals`(): List<DynamicTest> = seeds(RENTAL_DAYS).map { seed ->
        play("rental day $seed", LargeDay(seed, rentals = true))
    }

    /** As many machines as any deployment has, three quarters of them rented during the day. */
    @TestFactory
    fun `slow rentals of four thousand machines`(): List<DynamicTest> =
        listOf(play("4,000 machines", LargeDay(seed = 4, rentals = true, machines = 4_000, jobs = 600)))

    /** As many machines as any deployment has: nothing may hold fewer. */
    @TestFactory
    fun `an upgrade of four thousand machines`(): List<DynamicTest> =
        listOf(play("4,000 machines", LargeDay(seed = 4, upgrade = true, machines = 4_000, jobs = 600)))

    private fun play(name: String, day: LargeDay): DynamicTest = DynamicTest.dynamicTest(name) {
        try {
            Scenario(day.lines()).run()
        } catch (e: AssertionError) {
            throw AssertionError("$name: ${e.message?.take(MAX_SHOWN)}\n${day.faults().joinToString("\n")}", e)
        }
    }

    /**
     * The days that are always played, or, to look for more, those that the variable LARGE_SEEDS names (as in 100-200).
     */
    private fun seeds(days: Long = DAYS): LongRange {
        val (from, to) = (System.getenv("LARGE_SEEDS") ?: return 1L..days).split('-').map { it.toLong() }
        return from..to
    }

    private companion object {
        const val DAYS = 8L
        const val UPGRADE_DAYS = 4L
        const val ROLLOUT_DAYS = 3L
        const val RENTAL_DAYS = 3L
        const val MAX_SHOWN = 4_000
    }
}

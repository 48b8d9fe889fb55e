package io.reedmast.cluster

import io.reedmast.ports.Clock
import io.reedmast.settings.WorkerRules
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class WatchStalenessTest {
    private var now = 100_000L
    private val clock = object : Clock {
        override fun now() = now

        override fun wallTime() = now
    }
    private val staleness = WatchStaleness(clock, WorkerRules(3.0, 16.0, 41.0))
    private val answers = ArrayList<Boolean>()

    private fun ask() = staleness.awaitJobsBarrier { answers.add(it) }

    @Test
    fun `a question waits for an answer of the watch that was asked for after it`() {
        ask()
        staleness.onJobsObserved(askedAt = now)
        assertEquals(emptyList<Boolean>(), answers)
        staleness.onJobsObserved(askedAt = now + 1)
        assertEquals(listOf(true), answers)
    }

    @Test
    fun `it learns that nothing is known once it has waited for long enough`() {
        ask()
        now += 1_499
        staleness.resumeWaiters()
        assertEquals(emptyList<Boolean>(), answers)
        now += 1
        staleness.resumeWaiters()
        assertEquals(listOf(false), answers)
    }

    @Test
    fun `of too many questions the last ones are told at once, and the others are kept`() {
        repeat(1_001) { ask() }
        assertEquals(listOf(false), answers)
        staleness.onJobsObserved(askedAt = now + 1)
        assertEquals(1_000, answers.count { it })
    }

    @Test
    fun `the older of the two watches counts`() {
        staleness.onJobsObserved(now)
        assertFalse(staleness.isCurrent)
        staleness.onClusterObserved(now - 5_000)
        assertTrue(staleness.isCurrent)
        now += 1_000
        staleness.onJobsObserved(now)
        assertFalse(staleness.isCurrent)
    }

    /**
     * A cancelled task is gone 41 s after its user was told: a lease of 16 s, and 2 s to spare, come after the last
     * answer.
     */
    @Test
    fun `workers are answered for so long that cancelled work still goes in time`() {
        assertTrue(staleness.isWithinSelfFence(now - 22_900))
        assertFalse(staleness.isWithinSelfFence(now - 23_000))
    }
}

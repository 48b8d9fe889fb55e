package io.reedmast.ownership

import io.reedmast.ports.Clock
import io.reedmast.settings.WorkerRules
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class FreshnessTest {
    private var now = 100_000L
    private val clock = object : Clock {
        override fun now() = now

        override fun wall() = now
    }
    private val freshness = Freshness(clock, WorkerRules(3.0, 16.0, 41.0))
    private val answers = ArrayList<Boolean>()

    private fun ask() = freshness.whenJobsKnown { answers.add(it) }

    @Test
    fun `a question waits for an answer of the watch that was asked for after it`() {
        ask()
        freshness.jobsHeard(askedAt = now)
        assertEquals(emptyList<Boolean>(), answers)
        freshness.jobsHeard(askedAt = now + 1)
        assertEquals(listOf(true), answers)
    }

    @Test
    fun `it is told that nothing is known once it has waited for long enough`() {
        ask()
        now += 1_499
        freshness.resumeWaiters()
        assertEquals(emptyList<Boolean>(), answers)
        now += 1
        freshness.resumeWaiters()
        assertEquals(listOf(false), answers)
    }

    @Test
    fun `of too many questions the last ones are told at once, and the others are kept`() {
        repeat(1_001) { ask() }
        assertEquals(listOf(false), answers)
        freshness.jobsHeard(askedAt = now + 1)
        assertEquals(1_000, answers.count { it })
    }

    @Test
    fun `the older of the two watches counts`() {
        freshness.jobsHeard(now)
        assertFalse(freshness.isFresh)
        freshness.clusterHeard(now - 5_000)
        assertTrue(freshness.isFresh)
        now += 1_000
        freshness.jobsHeard(now)
        assertFalse(freshness.isFresh)
    }

    /** A cancelled task is gone 41 s after its user was told: a lease of 16 s, and 2 s to spare, come after the last answer. */
    @Test
    fun `workers are answered for so long that cancelled work still goes in time`() {
        assertTrue(freshness.isWithinFence(now - 22_900))
        assertFalse(freshness.isWithinFence(now - 23_000))
    }
}

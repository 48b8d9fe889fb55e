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
    private val results = ArrayList<Boolean>()

    private fun awaitBarrier() = staleness.awaitJobsBarrier { results.add(it) }

    @Test
    fun `a caller waits for the answer to a watch request sent after its call`() {
        awaitBarrier()
        staleness.onJobsObserved(askedAt = now)
        assertEquals(emptyList<Boolean>(), results)
        staleness.onJobsObserved(askedAt = now + 1)
        assertEquals(listOf(true), results)
    }

    @Test
    fun `a caller that has waited for the time limit resumes with false`() {
        awaitBarrier()
        now += 1_499
        staleness.resumeWaiters()
        assertEquals(emptyList<Boolean>(), results)
        now += 1
        staleness.resumeWaiters()
        assertEquals(listOf(false), results)
    }

    @Test
    fun `callers beyond the limit resume with false at once, and the others keep waiting`() {
        repeat(1_001) { awaitBarrier() }
        assertEquals(listOf(false), results)
        staleness.onJobsObserved(askedAt = now + 1)
        assertEquals(1_000, results.count { it })
    }

    @Test
    fun `the older of the two watches determines whether the view is current`() {
        staleness.onJobsObserved(now)
        assertFalse(staleness.isCurrent)
        staleness.onClusterObserved(now - 5_000)
        assertTrue(staleness.isCurrent)
        now += 1_000
        staleness.onJobsObserved(now)
        assertFalse(staleness.isCurrent)
    }

    /**
     * A cancelled task must be gone 41 s after its user was told; the last answer to a worker is followed by a lease of
     * 16 s and a margin of 2 s.
     */
    @Test
    fun `workers are answered only as long as cancelled tasks still end in time`() {
        assertTrue(staleness.isWithinSelfFence(now - 22_900))
        assertFalse(staleness.isWithinSelfFence(now - 23_000))
    }
}

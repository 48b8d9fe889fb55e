package io.reedmast.fairshare

import io.reedmast.wire.Priority
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class PreemptionTest {
    private val request = PreemptionRequest(Priority.STANDARD, withinGuarantee = true, teamUsageRatio = 0.5)
    private val candidate = PreemptionCandidate(
        priority = Priority.STANDARD,
        resumable = true,
        sameTeam = false,
        ranForS = 60.0,
        protectedMinimumS = 60.0,
        teamBeyondGuarantee = true,
        teamUsageRatio = 0.6,
    )

    @Test
    fun `resumable work past its minimum is stopped for a team within its guarantee and further below its share`() {
        assertTrue(mayPreempt(candidate, request))
        assertFalse(mayPreempt(candidate.copy(resumable = false), request))
        assertFalse(mayPreempt(candidate.copy(ranForS = 59.0), request))
        assertFalse(mayPreempt(candidate.copy(teamUsageRatio = 0.5), request))
        assertFalse(mayPreempt(candidate.copy(teamBeyondGuarantee = false), request))
        assertFalse(mayPreempt(candidate, request.copy(withinGuarantee = false)))
    }

    @Test
    fun `a request of a higher priority need not be within the guarantee`() {
        val urgent = request.copy(priority = Priority.URGENT, withinGuarantee = false)
        assertTrue(mayPreempt(candidate, urgent))
        assertFalse(mayPreempt(candidate.copy(sameTeam = true), urgent))
    }

    @Test
    fun `best-effort work is stopped for any funded request, and for no other`() {
        val bestEffort = candidate.copy(
            priority = Priority.BEST_EFFORT,
            resumable = false,
            sameTeam = true,
            ranForS = 0.0,
        )
        assertTrue(mayPreempt(bestEffort, request.copy(withinGuarantee = false)))
        assertFalse(mayPreempt(bestEffort, request.copy(priority = Priority.BEST_EFFORT)))
    }
}

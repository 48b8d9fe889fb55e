package io.reedmast.fairshare

import io.reedmast.wire.Priority

/** What [mayPreempt] needs to know of a running task. */
data class PreemptionCandidate(
    val priority: Priority,
    val resumable: Boolean,
    /** Whether the request comes from the same team. */
    val sameTeam: Boolean,
    val ranForS: Double,
    /** The protected minimum run time. */
    val protectedMinimumS: Double,
    /** Whether the team runs more than its guarantee. */
    val teamBeyondGuarantee: Boolean,
    /** Charged use of the candidate's team over the window, divided by its allocation. */
    val teamUsageRatio: Double,
)

/** What [mayPreempt] needs to know of a waiting request. */
data class PreemptionRequest(
    val priority: Priority,
    /** Whether one more task is within the guarantee of the requesting team. */
    val withinGuarantee: Boolean,
    /** Charged use of the requesting team over the window, divided by its allocation. */
    val teamUsageRatio: Double,
)

/** Whether [candidate] may be stopped for [request]: where both the design and the protocol permit it. */
fun mayPreempt(candidate: PreemptionCandidate, request: PreemptionRequest): Boolean =
    request.priority.isFunded && protocolPermits(candidate, request) && designPermits(candidate, request)

/**
 * The request must have a higher priority, or be within its team's guarantee while the candidate's team is beyond its
 * own (PROTOCOL, Preemption).
 */
private fun protocolPermits(candidate: PreemptionCandidate, request: PreemptionRequest): Boolean =
    request.priority < candidate.priority ||
        (!candidate.sameTeam && request.withinGuarantee && candidate.teamBeyondGuarantee)

/**
 * Uncharged work may be stopped for any funded request, and resumable work past its protected minimum for a team
 * further below its share (docs/design.md).
 */
private fun designPermits(candidate: PreemptionCandidate, request: PreemptionRequest): Boolean {
    if (!candidate.priority.isFunded) return true
    return candidate.resumable && !candidate.sameTeam && candidate.ranForS >= candidate.protectedMinimumS &&
        request.teamUsageRatio < candidate.teamUsageRatio
}

package io.reedmast.fairshare

import io.reedmast.wire.Priority

/** The attributes of a running task by which [mayPreempt] decides. */
data class PreemptionCandidate(
    val priority: Priority,
    val resumable: Boolean,
    /** Whether the request comes from the task's own team. */
    val sameTeam: Boolean,
    val ranForS: Double,
    /** The run time during which a resumable task is protected from preemption for teams further below their share. */
    val protectedMinimumS: Double,
    /** Whether the task's team uses more than its guarantee. */
    val teamBeyondGuarantee: Boolean,
    /** Charged use of the task's team over the sliding window, divided by its allocation. */
    val teamUsageRatio: Double,
)

/** The attributes of a waiting request by which [mayPreempt] decides. */
data class PreemptionRequest(
    val priority: Priority,
    /** Whether one more task is within the guarantee of the requesting team. */
    val withinGuarantee: Boolean,
    /** Charged use of the requesting team over the sliding window, divided by its allocation. */
    val teamUsageRatio: Double,
)

/**
 * Whether [candidate] may be preempted for [request]. The request must be funded, and both the protocol and the design
 * must permit the preemption.
 */
fun mayPreempt(candidate: PreemptionCandidate, request: PreemptionRequest): Boolean =
    request.priority.isFunded && protocolPermits(candidate, request) && designPermits(candidate, request)

/**
 * The request must either have a higher priority than the candidate, or come from another team and be within that
 * team's guarantee while the candidate's team is beyond its own (PROTOCOL, Preemption).
 */
private fun protocolPermits(candidate: PreemptionCandidate, request: PreemptionRequest): Boolean =
    request.priority < candidate.priority ||
        (!candidate.sameTeam && request.withinGuarantee && candidate.teamBeyondGuarantee)

/**
 * Best-effort work, which is not charged, may be preempted for any funded request. Funded work may be preempted only
 * if it is resumable, has run for its protected minimum, and the request comes from another team that is further below
 * its share, that is, has a lower usage ratio (docs/design.md).
 */
private fun designPermits(candidate: PreemptionCandidate, request: PreemptionRequest): Boolean {
    if (!candidate.priority.isFunded) return true
    return candidate.resumable && !candidate.sameTeam && candidate.ranForS >= candidate.protectedMinimumS &&
        request.teamUsageRatio < candidate.teamUsageRatio
}

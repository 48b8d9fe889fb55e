package io.reedmast.fairshare

import io.reedmast.wire.Priority

/** What [mayPreempt] needs to know of a running task. */
data class PreemptionCandidate(
    val priority: Priority,
    val resumable: Boolean,
    val sameTeam: Boolean,
    val ranForS: Double,
    val minimumS: Double,
    /** Whether the team runs more than its guarantee. */
    val teamBeyondGuarantee: Boolean,
    val teamRatio: Double,
)

/** What [mayPreempt] needs to know of a waiting request. */
data class PlacementRequest(val priority: Priority, val withinGuarantee: Boolean, val teamRatio: Double)

/**
 * Whether [runner] may be stopped to make room for [request], where both the design and the protocol permit it.
 *
 * The design lets uncharged work yield to any funded request, and resumable work past its minimum to a team further
 * below its share. The protocol asks that the request have a higher rank, or that it be within its team's guarantee and
 * the runner beyond its own.
 */
fun mayPreempt(runner: PreemptionCandidate, request: PlacementRequest): Boolean {
    if (!request.priority.isFunded) return false
    val protocol =
        request.priority < runner.priority ||
            (!runner.sameTeam && request.withinGuarantee && runner.teamBeyondGuarantee)
    if (!protocol) return false
    if (!runner.priority.isFunded) return true
    return runner.resumable && !runner.sameTeam && runner.ranForS >= runner.minimumS &&
        request.teamRatio < runner.teamRatio
}

package io.reedmast.scheduling

import io.reedmast.model.Job
import io.reedmast.model.Placement
import io.reedmast.model.ShardState
import io.reedmast.settings.TeamId

/**
 * Protects tasks that were placed because their job had got nothing for long.
 *
 * Stopped at once for the work that it was preferred to, the job would get nothing for ever.
 */
internal class PreemptionProtection(private val shardState: ShardState) {
    private val protectedFromAll = HashMap<TeamId, MutableList<Placement>>()

    /**
     * Protects a new placement of an underserved job from work of its own team, for the estimated run time and a
     * minute; that of an overdue job from all work.
     */
    fun protect(placement: Placement, nowMs: Long) {
        val protectedUntil = nowMs + PROTECTION_MS + (placement.job.spec.estimateS * MS_PER_SECOND).toLong()
        placement.protectedFromTeamUntil = protectedUntil
        val protectedOfTeam = protectedFromAll.getOrPut(placement.job.team) { ArrayList() }
        protectedOfTeam.removeIf { nowMs >= it.protectedFromAllUntil || it.machine.placements[it.id] !== it }
        // A few at a time: many uncharged tasks that are not preemptable would occupy the capacity of funded work.
        if (!shardState.urgency.isSeverelyUnderserved(placement.job) ||
            protectedOfTeam.size >= MAX_PROTECTED_FROM_ALL
        ) {
            return
        }
        placement.protectedFromAllUntil = protectedUntil
        protectedOfTeam.add(placement)
    }

    /** Whether the task may be stopped for other work at all: funded work that cannot resume never is. */
    fun isPreemptable(placement: Placement): Boolean = shardState.clock.now() >= placement.protectedFromAllUntil &&
        (!placement.job.spec.priority.isFunded || placement.job.spec.resumable)

    /**
     * Whether the task was preferred to [job], of the same team, for its long wait, and too recently to be stopped for
     * it.
     */
    fun isProtectedFrom(placement: Placement, job: Job): Boolean =
        shardState.clock.now() < placement.protectedFromTeamUntil && placement.job.team == job.team

    private companion object {
        const val PROTECTION_MS = 60_000L
        const val MAX_PROTECTED_FROM_ALL = 4
        const val MS_PER_SECOND = 1000
    }
}

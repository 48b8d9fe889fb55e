package io.reedmast.scheduling

import io.reedmast.model.Job
import io.reedmast.model.Placement
import io.reedmast.model.ShardState
import io.reedmast.settings.TeamId

/**
 * Protects tasks of underserved jobs from preemption after their placement.
 *
 * Such a task was placed before other work because of its job's long wait. If it could be preempted at once for that
 * other work, the job would never make progress.
 */
internal class PreemptionProtection(private val shardState: ShardState) {
    private val protectedFromAll = HashMap<TeamId, MutableList<Placement>>()

    /**
     * Protects a new placement of an underserved job, for the estimated run time plus a minute, from preemption for
     * other work of its own team. If the job is severely underserved, the placement is protected from preemption for
     * any work; this holds for at most [MAX_PROTECTED_FROM_ALL] placements of a team at a time.
     */
    fun protect(placement: Placement, nowMs: Long) {
        val protectedUntil = nowMs + PROTECTION_MS + (placement.job.spec.estimateS * MS_PER_SECOND).toLong()
        placement.protectedFromTeamUntil = protectedUntil
        val protectedOfTeam = protectedFromAll.getOrPut(placement.job.team) { ArrayList() }
        protectedOfTeam.removeIf { nowMs >= it.protectedFromAllUntil || it.machine.placements[it.id] !== it }
        // Only a few at a time: many best-effort tasks, which are not charged, would otherwise occupy the capacity of
        // funded work without being preemptable.
        if (!shardState.urgency.isSeverelyUnderserved(placement.job) ||
            protectedOfTeam.size >= MAX_PROTECTED_FROM_ALL
        ) {
            return
        }
        placement.protectedFromAllUntil = protectedUntil
        protectedOfTeam.add(placement)
    }

    /** Whether the task may be preempted at all; funded work that cannot resume never may. */
    fun isPreemptable(placement: Placement): Boolean = shardState.clock.now() >= placement.protectedFromAllUntil &&
        (!placement.job.spec.priority.isFunded || placement.job.spec.resumable)

    /**
     * Whether the task is protected from preemption for [job]: both are of the same team, and the task was placed first
     * because of its own job's long wait, too recently to be stopped for [job].
     */
    fun isProtectedFrom(placement: Placement, job: Job): Boolean =
        shardState.clock.now() < placement.protectedFromTeamUntil && placement.job.team == job.team

    private companion object {
        const val PROTECTION_MS = 60_000L
        const val MAX_PROTECTED_FROM_ALL = 4
        const val MS_PER_SECOND = 1000
    }
}

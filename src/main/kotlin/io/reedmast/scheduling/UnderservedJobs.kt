package io.reedmast.scheduling

import io.reedmast.model.Job
import io.reedmast.model.ShardState
import io.reedmast.settings.TeamId

/**
 * Selects, at intervals, a few jobs of each team that have been underserved for longest, which are then placed
 * before the jobs that follow by fair share.
 *
 * Otherwise a team that is always at its limit, or in a full shard, would never start its other jobs while it has work
 * of a higher priority or a large array.
 */
internal class UnderservedJobs(private val shardState: ShardState) {
    private val nextTurnAtMs = HashMap<TeamId, Long>()

    /** The jobs among [readyJobs] that have been underserved for longest, of the teams whose next turn is due. */
    fun select(readyJobs: List<Job>, nowMs: Long): List<Job> = readyJobs
        .filter { nowMs >= (nextTurnAtMs[it.team] ?: 0L) && shardState.urgency.isUnderserved(it) }
        .groupBy { it.team }
        .values
        .flatMap { jobs -> jobs.sortedByDescending { shardState.urgency.underservedForMs(it) }.take(MAX_JOBS_PER_TEAM) }

    /** Records that the team has had its turn: the next one is due after an interval. */
    fun recordTurn(team: TeamId, nowMs: Long) {
        nextTurnAtMs[team] = nowMs + TURN_INTERVAL_MS
    }

    private companion object {
        const val TURN_INTERVAL_MS = 250L
        const val MAX_JOBS_PER_TEAM = 3
    }
}

package io.reedmast.scheduling

import io.reedmast.model.Job
import io.reedmast.model.ShardState
import io.reedmast.settings.TeamId

/**
 * Gives a few jobs of each team that have got nothing for longest a turn before all others, at intervals.
 *
 * A team that is always at its limit, or in a full shard, with work of a higher priority or with a large array, would
 * never begin its other jobs.
 */
internal class UnderservedJobs(private val shardState: ShardState) {
    private val nextTurnAtMs = HashMap<TeamId, Long>()

    /** The underserved ones of [readyJobs] whose teams may have such a turn now. */
    fun select(readyJobs: List<Job>, nowMs: Long): List<Job> = readyJobs
        .filter { nowMs >= (nextTurnAtMs[it.team] ?: 0L) && shardState.urgency.isUnderserved(it) }
        .groupBy { it.team }
        .values
        .flatMap { jobs -> jobs.sortedByDescending { shardState.urgency.underservedForMs(it) }.take(MAX_JOBS_PER_TEAM) }

    /** Records that the team has used its turn. */
    fun recordTurn(team: TeamId, nowMs: Long) {
        nextTurnAtMs[team] = nowMs + TURN_INTERVAL_MS
    }

    private companion object {
        const val TURN_INTERVAL_MS = 250L
        const val MAX_JOBS_PER_TEAM = 3
    }
}

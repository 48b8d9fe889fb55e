package io.reedmast.scheduling

import io.reedmast.model.Job
import io.reedmast.model.ShardState
import io.reedmast.settings.TeamId

/**
 * The jobs that wait for machines, a queue for each team.
 *
 * The next job is the first one of the team that fair share puts first: teams within their guarantee before others,
 * then by charged use against allocation. Both change with every placement, so the team is chosen anew each time.
 */
internal class FairShareQueues(jobs: List<Job>, private val shardState: ShardState, private val wallMs: Long) {
    private val queues: MutableMap<TeamId, ArrayDeque<Job>> = jobs
        .groupBy { it.team }
        .mapValuesTo(LinkedHashMap()) { (_, teamJobs) -> ArrayDeque(teamJobs.sortedWith(queueOrder(shardState))) }

    private val teamOrder = compareBy<TeamId>(
        { team -> !shardState.isWithinGuarantee(team, queues.getValue(team).first().spec) },
        { team -> shardState.ratio(team, wallMs) },
    )

    fun isNotEmpty(): Boolean = queues.isNotEmpty()

    /** The job whose turn it is; it stays in its queue. Fails if there is none. */
    fun next(): Job = queues.getValue(nextTeam()).first()

    /** Takes the job out of its team's queue, of which it is the first. */
    fun remove(job: Job) {
        val queue = queues.getValue(job.team)
        check(queue.first() === job) { "job ${job.spec.jobId} is not the first of its queue" }
        queue.removeFirst()
        if (queue.isEmpty()) queues.remove(job.team)
    }

    private fun nextTeam(): TeamId = if (queues.size == 1) queues.keys.first() else queues.keys.minWith(teamOrder)
}

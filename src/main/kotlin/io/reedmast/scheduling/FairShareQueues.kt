package io.reedmast.scheduling

import io.reedmast.model.Job
import io.reedmast.settings.TeamId

/**
 * The jobs that wait for machines, a queue for each team in [jobOrder].
 *
 * The next job is the first one of the team that [teamOrder] puts first, where each team is represented by the first
 * job of its queue. That order changes with every placement, so the team is chosen anew each time.
 */
internal class FairShareQueues(jobs: List<Job>, jobOrder: Comparator<Job>, private val teamOrder: Comparator<Job>) {
    private val queues: MutableMap<TeamId, ArrayDeque<Job>> = jobs
        .groupBy { it.team }
        .mapValuesTo(LinkedHashMap()) { (_, teamJobs) -> ArrayDeque(teamJobs.sortedWith(jobOrder)) }

    /** Whether a job is left in any queue. */
    fun isNotEmpty(): Boolean = queues.isNotEmpty()

    /** The job whose turn it is; it stays in its queue. Fails if there is none. */
    fun peek(): Job {
        val firstJobs = queues.values.map { it.first() }
        return if (firstJobs.size == 1) firstJobs.single() else firstJobs.minWith(teamOrder)
    }

    /** Takes the job out of its team's queue, of which it is the first. */
    fun remove(job: Job) {
        val queue = queues.getValue(job.team)
        check(queue.first() === job) { "job ${job.spec.jobId} is not the first of its queue" }
        queue.removeFirst()
        if (queue.isEmpty()) queues.remove(job.team)
    }
}

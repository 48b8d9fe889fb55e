package io.reedmast.scheduling

import io.reedmast.model.Job
import io.reedmast.settings.TeamId

/**
 * The jobs that wait for machines, in one queue per team that is sorted by [jobOrder].
 *
 * The next job is the first job of the team that comes first in [teamOrder], which compares teams by the first jobs of
 * their queues. That order changes with every placement, so the team is chosen anew each time.
 */
internal class FairShareQueues(jobs: List<Job>, jobOrder: Comparator<Job>, private val teamOrder: Comparator<Job>) {
    private val queues: MutableMap<TeamId, ArrayDeque<Job>> = jobs
        .groupBy { it.team }
        .mapValuesTo(LinkedHashMap()) { (_, teamJobs) -> ArrayDeque(teamJobs.sortedWith(jobOrder)) }

    /** Whether any job is left. */
    fun isNotEmpty(): Boolean = queues.isNotEmpty()

    /** The next job to place, which stays in its queue. Throws [NoSuchElementException] if no job is left. */
    fun peek(): Job {
        val firstJobs = queues.values.map { it.first() }
        return if (firstJobs.size == 1) firstJobs.single() else firstJobs.minWith(teamOrder)
    }

    /** Removes the job, which must be the first of its team's queue. */
    fun remove(job: Job) {
        val queue = queues.getValue(job.team)
        check(queue.first() === job) { "job ${job.spec.jobId} is not the first of its team's queue" }
        queue.removeFirst()
        if (queue.isEmpty()) queues.remove(job.team)
    }
}

package io.reedmast.scheduling

import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.placement.ServiceHeadroom

/** What one pass works with, and what it has found out so far. */
internal class SchedulingPass(
    val nowMs: Long,
    /** Wall-clock time, for charged use. */
    val wallMs: Long,
    /** The machines on which work may start. */
    val machines: List<Machine>,
    val serviceHeadroom: ServiceHeadroom,
) {
    /** What found no machine finds none later in the same pass, since nothing becomes free during it. */
    val shapesWithoutMachine = HashSet<TaskShape>()

    private val placementsByJob = HashMap<Job, Int>()

    /** How often something was placed for each job: a gang counts once. */
    val placementCounts: Map<Job, Int> get() = placementsByJob

    /** Records that a task of the job, or all of a gang, was placed. */
    fun recordPlaced(job: Job) {
        placementsByJob.merge(job, 1, Int::plus)
    }
}

package io.reedmast.scheduling

import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.placement.ServiceHeadroom

/** The inputs of one scheduling pass, and what it has found out so far. */
internal class SchedulingPass(
    val nowMs: Long,
    /** Wall-clock time, for computing charged use. */
    val wallMs: Long,
    /** The machines on which work may be placed. */
    val machines: List<Machine>,
    val serviceHeadroom: ServiceHeadroom,
) {
    /**
     * Shapes of tasks that found no machine. They find none later in the same pass either, since no capacity becomes
     * free during it.
     */
    val shapesWithoutMachine = HashSet<TaskShape>()

    /** Jobs of which nothing more was placed because of [io.reedmast.model.PlacementLimits]. */
    val jobsHeldBack = HashSet<Job>()

    private val placementsByJob = HashMap<Job, Int>()

    /** The number of placements made for each job; a whole gang counts as one. */
    val placementCounts: Map<Job, Int> get() = placementsByJob

    /** Records that a task of the job, or the whole gang, was placed. */
    fun recordPlaced(job: Job) {
        placementsByJob.merge(job, 1, Int::plus)
    }
}

package io.reedmast.model

import io.reedmast.wire.reportedTaskBytes

/** What the placements on one machine use of it, as sums that are kept up to date. */
internal class PlacedUsage {
    var cpus = 0.0
        private set
    var gpus = 0.0
        private set
    var memoryGb = 0.0
        private set

    /** What the tasks take in the worker's status, in bytes. */
    var reportBytes = 0
        private set
    private var serviceCount = 0
    private val placementCounts = HashMap<Job, Int>()

    /** Whether a service is placed on the machine. */
    val hasServices: Boolean get() = serviceCount > 0

    /** Whether a task of the job is placed on the machine. */
    operator fun contains(job: Job): Boolean = job in placementCounts

    /** Counts a placement of the job. */
    fun add(job: Job) = count(job, +1)

    /** Stops counting a placement of the job. */
    fun remove(job: Job) {
        count(job, -1)
        if (placementCounts.isNotEmpty()) return
        // Sums of decimals accumulate rounding errors; an empty machine must have exactly 0.
        cpus = 0.0
        gpus = 0.0
        memoryGb = 0.0
    }

    private fun count(job: Job, change: Int) {
        val spec = job.spec
        cpus += change * spec.cpus
        gpus += change * spec.gpus
        memoryGb += change * spec.memoryGb
        reportBytes += change * spec.reportedTaskBytes
        if (spec.isService) serviceCount += change
        placementCounts.compute(job) { _, count -> ((count ?: 0) + change).takeIf { it > 0 } }
    }
}

package io.reedmast.scheduling

import io.reedmast.model.Job
import io.reedmast.placement.Urgency
import io.reedmast.wire.reportedTaskBytes

/**
 * The properties of a task that decide whether it finds a machine. At any point of a pass, either all tasks of one
 * shape find one or none does.
 */
internal data class TaskShape(
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
    val spot: Boolean,
    val allowedTypes: List<String>?,
    val zone: String?,
    val ignoresCostAndHeadroom: Boolean,
    val reportedTaskBytes: Int,
) {
    companion object {
        /**
         * The shape of the job's tasks; null if zone rules or earlier failures of the job rule out more machines, so
         * that it may find no machine where other jobs with the same shape would.
         */
        fun of(job: Job, urgency: Urgency): TaskShape? {
            val spec = job.spec
            if (spec.oneZone || spec.spread || job.failedOn.isNotEmpty()) return null
            return TaskShape(
                spec.cpus,
                spec.gpus,
                spec.memoryGb,
                spec.spot,
                spec.allowedTypes,
                spec.zone,
                urgency.ignoresCostAndHeadroom,
                spec.reportedTaskBytes,
            )
        }
    }
}

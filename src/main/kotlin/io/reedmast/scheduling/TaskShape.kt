package io.reedmast.scheduling

import io.reedmast.model.Job
import io.reedmast.placement.Urgency

/** What tasks have in common for which, within a pass, either all or none find a machine. */
internal data class TaskShape(
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
    val spot: Boolean,
    val allowedTypes: List<String>?,
    val zone: String?,
    val ignoresCostAndHeadroom: Boolean,
) {
    companion object {
        /**
         * The shape of the job's tasks; null if the job has rules of its own for zones or machines, and so may find no
         * machine where others of its shape would.
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
            )
        }
    }
}

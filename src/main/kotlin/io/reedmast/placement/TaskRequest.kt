package io.reedmast.placement

import io.reedmast.model.Job
import io.reedmast.model.Machine

/** A task to be placed, as the filters and the scoring of machines see it. */
class TaskRequest(
    val job: Job,
    val urgency: Urgency,
    val serviceHeadroom: ServiceHeadroom,
    /** Whether the machine is on-demand and costs too much for this job; never if the job may not use spot machines. */
    val isOverpriced: (Machine) -> Boolean,
)

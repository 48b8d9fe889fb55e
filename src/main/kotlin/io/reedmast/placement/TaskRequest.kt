package io.reedmast.placement

import io.reedmast.model.Job
import io.reedmast.model.Machine

/** What filtering and scoring machines need to know of the task that is to be placed. */
class TaskRequest(
    val job: Job,
    val urgency: Urgency,
    val serviceHeadroom: ServiceHeadroom,
    /** Whether an ordinary machine costs too much for this job, which may use spot machines. */
    val isOverpriced: (Machine) -> Boolean,
)

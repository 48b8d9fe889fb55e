package io.reedmast.scheduling

import io.reedmast.fairshare.PreemptionRequest
import io.reedmast.model.Job

/** A waiting job for which other work may be preempted. [wallMs] is the wall time for computing charged use. */
internal class PreemptingJob(val job: Job, val request: PreemptionRequest, val wallMs: Long)

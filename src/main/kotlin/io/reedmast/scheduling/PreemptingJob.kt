package io.reedmast.scheduling

import io.reedmast.fairshare.PreemptionRequest
import io.reedmast.model.Job

/** A waiting job for which other work may be stopped, as fair share sees it; [wallMs] is for charged use. */
internal class PreemptingJob(val job: Job, val request: PreemptionRequest, val wallMs: Long)

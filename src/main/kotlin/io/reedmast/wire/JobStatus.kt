package io.reedmast.wire

/** The status of a job as its users see it; [done] and [running] count tasks and are for display. */
data class JobStatus(val jobId: String, val state: JobState, val done: Int? = null, val running: Int? = null) {
    /** The body that users receive; counts that are null are omitted. */
    fun toFields(): Fields =
        mapOf("ref" to jobId, "stage" to state.wireName, "done" to done, "running" to running).filterValues {
            it != null
        }
}

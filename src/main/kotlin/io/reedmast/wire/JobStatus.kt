package io.reedmast.wire

/** A job as its users see it; the counts, of tasks, are for display. */
data class JobStatus(val jobId: String, val state: JobState, val done: Int? = null, val running: Int? = null) {
    /** The status as users read it; counts that are null are omitted. */
    fun toFields(): Fields =
        mapOf("ref" to jobId, "stage" to state.wireName, "done" to done, "running" to running).filterValues {
            it != null
        }
}

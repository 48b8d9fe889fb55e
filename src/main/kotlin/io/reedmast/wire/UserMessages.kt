package io.reedmast.wire

/** What users are told of a job's progress. */
enum class JobState(val wire: String) {
    QUEUED("queued"),
    RUNNING("running"),
    DONE("done"),
    CANCELLED("aborted"),
    ;

    /** Whether the job is over, so that this never changes again. */
    val isFinal: Boolean get() = this == DONE || this == CANCELLED
}

/** A job as its users see it; the counts, of tasks, are for display. */
data class JobStatus(val jobId: String, val state: JobState, val done: Int? = null, val running: Int? = null) {
    fun toFields(): Fields =
        mapOf("ref" to jobId, "stage" to state.wire, "done" to done, "running" to running).filterValues {
            it !=
                null
        }
}

/** The answer to a user: a job's status, or why there is none. */
data class UserAnswer(
    val status: Int,
    val job: JobStatus? = null,
    val error: String? = null,
    val retryAfterS: Int? = null,
) {
    fun toFields(): Fields = job?.toFields() ?: mapOf("error" to error)
}

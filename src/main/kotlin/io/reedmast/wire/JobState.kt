package io.reedmast.wire

/** The state of a job as its users see it; [wireName] is the name in messages and records. */
enum class JobState(val wireName: String) {
    /** No task runs. */
    QUEUED("queued"),
    RUNNING("running"),
    DONE("done"),
    CANCELLED("aborted"),
    ;

    /** Whether the job is over; a final state never changes again. */
    val isFinal: Boolean get() = this == DONE || this == CANCELLED
}

package io.reedmast.wire

/** The state of one task on a worker; [wireName] is the name in messages. */
enum class TaskState(val wireName: String) {
    /** Waiting for its image. */
    FETCHING("fetching"),

    /** A task of a gang that waits for the other tasks of its attempt. */
    WAITING("waiting"),
    RUNNING("running"),

    /** It was stopped and is saving its progress. */
    SAVING("saving"),

    /** It is over, see [TaskEndCause]. */
    ENDED("ended"),
}

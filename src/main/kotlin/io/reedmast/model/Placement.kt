package io.reedmast.model

import io.reedmast.wire.TaskId

/** Why an owner wants an attempt stopped. */
enum class StopReason {
    CANCELLED,
    PREEMPTED,
    DRAINED,

    /** Another task of its gang is gone. */
    GANG_INCOMPLETE,
}

/**
 * One attempt to run one task on one machine, from the decision until there is evidence that the attempt is over.
 *
 * Quota, zone rules and free room count every placement, whatever is known of it.
 */
class Placement(val job: Job, val task: Int, val attempt: Long, val machine: Machine, val madeAt: Long) {
    val id = TaskId(job.spec.jobId, task)

    /** Whether the store holds it: nothing is launched before. */
    var committed = false

    /** The worker's session for which a launch was last sent, 0 if this owner sent none. */
    var launchEpoch = 0L

    /** The sequence of the report in whose answer a launch was last sent. */
    var answeredSequence = -1L

    /** In how many answers a launch was sent since the worker last showed the attempt. */
    var launchesAnswered = 0

    var seen = false
    var runningSince = 0L
    var stopReason: StopReason? = null

    /** Until then it yields to no work of its own team: its job had got nothing for long. */
    var keptUntil = 0L

    /** Until then it yields to nothing: its job had got nothing for very long. */
    var keptFromAllUntil = 0L
    val running: Boolean get() = runningSince != 0L
}

package io.reedmast.model

import io.reedmast.wire.TaskId

/** Why an owner wants an attempt stopped. */
enum class StopReason {
    /** The job's user has cancelled it. */
    CANCELLED,

    /** Other work takes its place. */
    PREEMPTED,

    /** Its machine is decommissioned. */
    DRAINED,

    /** Another task of its gang is gone. */
    GANG_INCOMPLETE,
}

/**
 * One attempt to run one task on one machine, from the decision until there is evidence that the attempt is over.
 *
 * Quota, zone rules and free capacity count every placement, whatever is known of it.
 *
 * The steps of a placement: decided ([createdAt]), stored ([committed]), launched ([launchEpoch], [launchSequence]),
 * shown by the worker ([isReported]), [running], and gone ([ShardState.finish]). A [stopReason] may come at any step. Where
 * the worker has lost its state, the placement is merely stored again ([Job.recordLost]).
 *
 * @property task the task's number in its job.
 * @property attempt the attempt's number, different for each attempt at the task.
 * @property createdAt when the decision was made, or when the placement was restored.
 */
class Placement(val job: Job, val task: Int, val attempt: Long, val machine: Machine, val createdAt: Long) {
    val id = TaskId(job.spec.jobId, task)

    /** Whether the store holds it: nothing is launched before. */
    var committed = false

    /** The worker's epoch for which a launch was last sent, 0 if this owner sent none. */
    var launchEpoch = 0L

    /** The sequence of the heartbeat in whose answer a launch was last sent. */
    var launchSequence = -1L

    /** In how many answers a launch was sent since the worker last showed the attempt. */
    var launchesSentSinceReported = 0

    /** Whether the worker has shown the attempt in its present epoch. */
    var isReported = false

    /** Since when it runs, as its worker shows it; 0 while it does not. */
    var runningSince = 0L

    /** Why it is to stop; null as long as it may run. */
    var stopReason: StopReason? = null

    /** Until then it is not preempted for other work of its own team: its job had got nothing for long. */
    var protectedFromTeamUntil = 0L

    /** Until then it is not preempted at all: its job had got nothing for very long. */
    var protectedFromAllUntil = 0L

    /** Whether the worker has shown it running. */
    val running: Boolean get() = runningSince != 0L
}

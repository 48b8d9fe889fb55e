package io.reedmast.model

import io.reedmast.wire.TaskId

/** Why the shard's owner stops an attempt. */
enum class StopReason {
    /** The user has cancelled the job. */
    CANCELLED,

    /** The capacity is needed for other work. */
    PREEMPTED,

    /** Its machine is decommissioned. */
    DRAINED,

    /** Its gang has lost another task. */
    GANG_INCOMPLETE,
}

/**
 * One attempt to run one task on one machine, from the decision until there is evidence that the attempt is over.
 *
 * Every placement counts for quota, zone rules and free capacity, whatever its state.
 *
 * The steps of a placement: decided ([createdAt]), stored ([committed]), launched ([launchEpoch], [launchSequence]),
 * reported by the worker ([isReported]), [running], and finished ([ShardState.finish]). A [stopReason] may be set at
 * any step. When the worker has lost its state, the placement goes back to being merely stored ([Job.recordLost]).
 *
 * @property task the task's number in its job.
 * @property attempt the number of the attempt, unique among the attempts at the task.
 * @property createdAt when the decision was made, or when the placement was restored.
 */
class Placement(val job: Job, val task: Int, val attempt: Long, val machine: Machine, val createdAt: Long) {
    val id = TaskId(job.spec.jobId, task)

    /** Whether the store holds the placement; it is not launched before. */
    var committed = false

    /** The worker epoch for which a launch was last sent; 0 if this owner has sent none. */
    var launchEpoch = 0L

    /** The sequence number of the last heartbeat whose answer carried a launch; -1 if there was none. */
    var launchSequence = -1L

    /** How many answers have carried a launch since the worker last reported the attempt. */
    var launchesSentSinceReported = 0

    /** Whether the worker has reported the attempt in its current epoch. */
    var isReported = false

    /** Since when the task runs, according to its worker; 0 while it does not run. */
    var runningSince = 0L

    /** Why the attempt is to be stopped; null as long as it may run. */
    var stopReason: StopReason? = null

    /** Until when it must not be preempted for other work of its own team, because its job was underserved. */
    var protectedFromTeamUntil = 0L

    /** Until when it must not be preempted at all, because its job was severely underserved. */
    var protectedFromAllUntil = 0L

    /** Whether the worker has reported the task as running. */
    val running: Boolean get() = runningSince != 0L
}

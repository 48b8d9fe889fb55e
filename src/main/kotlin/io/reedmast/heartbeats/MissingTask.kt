package io.reedmast.heartbeats

import io.reedmast.model.Placement
import io.reedmast.model.RecordConflict
import io.reedmast.wire.WorkerStatus

/** What the absence of a stored placement's task from the newest status means. */
internal enum class MissingTask {
    /** Killed with an earlier epoch (PROTOCOL, Leases), and not to be started on this machine again. */
    LOST,

    /**
     * Killed with an earlier epoch, on a worker that is back and has the image: it is launched there again. Placed
     * anew, all tasks of a fleet waited for the store's limit and for images after an outage of the store that was
     * longer than workers are answered without it.
     */
    LOST_AND_RESTARTABLE,

    /**
     * It is not on a machine whose worker has seen the higher token of another shard's owner: no launch of ours can
     * arrive any more.
     */
    SUPERSEDED,

    /** The status answers a direct call: commands go with the answer to the next heartbeat. */
    NO_ANSWER_POSSIBLE,

    /** It is to run: the launch goes with the answer, for the first time or again. */
    LAUNCH_DUE,

    /** It is to be stopped, and a direct call to the worker is unanswered: the task may just be starting. */
    DIRECT_CALL_PENDING,

    /** It is to be stopped, but a direct launch of it, or a copy of one, may still arrive. */
    LATE_LAUNCH_POSSIBLE,

    /** It is to be stopped, and this status is no newer than the one whose answer last carried its launch. */
    ANSWER_PENDING,

    /** It is to be stopped, and is not on the machine: no launch of it can arrive any more. */
    STOPPED,
    ;

    companion object {
        /**
         * The case of [placement], stored and absent from [status], which is the newest one and current.
         * [highestOwnToken] is the highest that the shard's owner may use.
         */
        fun of(placement: Placement, status: WorkerStatus, source: StatusSource, highestOwnToken: Long): MissingTask {
            val machine = placement.machine
            val mayLaunchArriveLate = machine.mayStillLaunch(placement.id, placement.attempt)
            val wasLaunchSent = placement.launchEpoch != 0L
            return when {
                // A later epoch: everything of the earlier one was killed, and its launches are refused.
                wasLaunchSent && placement.launchEpoch < status.epoch && !mayLaunchArriveLate ->
                    if (isRestartable(placement)) LOST_AND_RESTARTABLE else LOST

                machine.recordConflict == RecordConflict.ANSWERED_ELSEWHERE && status.token > highestOwnToken ->
                    SUPERSEDED

                source != StatusSource.HEARTBEAT -> NO_ANSWER_POSSIBLE

                placement.stopReason == null -> LAUNCH_DUE

                mayLaunchArriveLate -> if (machine.pendingDirectCalls > 0) DIRECT_CALL_PENDING else LATE_LAUNCH_POSSIBLE

                wasLaunchSent && status.sequence <= placement.launchSequence -> ANSWER_PENDING

                else -> STOPPED
            }
        }

        private fun isRestartable(placement: Placement): Boolean {
            val machine = placement.machine
            return placement.stopReason == null && machine.usable && machine.reclaimAt == 0L &&
                !placement.job.spec.isGang
        }
    }
}

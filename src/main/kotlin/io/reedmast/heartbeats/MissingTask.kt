package io.reedmast.heartbeats

import io.reedmast.model.Placement
import io.reedmast.model.RecordConflict
import io.reedmast.wire.WorkerStatus

/** What it means that the task of a stored placement is absent from the newest status of its machine. */
internal enum class MissingTask {
    /**
     * The task was killed as an earlier epoch ended (PROTOCOL, Leases), and is not to be started on this machine again.
     */
    LOST,

    /**
     * The task was killed as an earlier epoch ended, and its worker is back and has the image: the task is launched
     * there again. Placed anew, all tasks of a fleet would wait for the store's write limit and for images after a
     * store outage that lasts longer than workers are answered without the store.
     */
    LOST_AND_RESTARTABLE,

    /**
     * The task is not on the machine, whose worker has seen the higher token of another shard's owner: no launch by
     * this owner can take effect any more.
     */
    SUPERSEDED,

    /** The status is the reply to a direct call: commands go with the answer to the next heartbeat. */
    NO_ANSWER_POSSIBLE,

    /** The task is to run: the launch goes with the answer, for the first time or again. */
    LAUNCH_DUE,

    /**
     * The task is to be stopped, but may just be starting: a direct call to the worker is unanswered, and a direct
     * launch of the task, or a copy of one, may still arrive.
     */
    DIRECT_CALL_PENDING,

    /**
     * The task is to be stopped, and no direct call is unanswered, but a direct launch of the task, or a copy of one,
     * may still arrive.
     */
    LATE_LAUNCH_POSSIBLE,

    /**
     * The task is to be stopped. The last answer that carried its launch was to this status or to a newer one, so this
     * status does not show whether that launch has arrived.
     */
    ANSWER_PENDING,

    /** The task is to be stopped, and is not on the machine: no launch of it can arrive any more. */
    STOPPED,
    ;

    companion object {
        /**
         * Classifies [placement], which is stored and whose task is absent from [status]; the status must be the newest
         * one, with [StatusEvidence.CURRENT]. [highestOwnToken] is the highest token that the shard's owner may use.
         */
        fun of(placement: Placement, status: WorkerStatus, source: StatusSource, highestOwnToken: Long): MissingTask {
            val machine = placement.machine
            val mayLaunchArriveLate = machine.directLaunches.mayStillStart(placement.id, placement.attempt)
            val wasLaunchSent = placement.launchEpoch != 0L
            return when {
                // The worker is in a later epoch: all tasks of the earlier one were killed, and launches sent for it
                // are refused.
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

package io.reedmast.heartbeats

import io.reedmast.gangs.GangCoordinator
import io.reedmast.model.Job
import io.reedmast.model.Placement
import io.reedmast.model.ShardState
import io.reedmast.wire.TaskEndCause
import org.slf4j.LoggerFactory

/**
 * Handles the end of a task on its machine: its cause decides when the job may be tried again, and whether a failure is
 * blamed on the job or the machine.
 */
internal class TaskEndHandler(private val shardState: ShardState, private val gangs: GangCoordinator) {
    private val log = LoggerFactory.getLogger("shard")
    private val failures = FailureTracker(shardState)

    /** Called when the worker reports that the attempt of [placement] has ended: the evidence that finishes it. */
    fun onEnded(placement: Placement, cause: TaskEndCause, now: Long) {
        val job = placement.job
        logUnexpectedEnd(placement, cause)
        when (cause) {
            TaskEndCause.DONE -> {
                placement.machine.recordImage(job.spec.image, job.spec.imageGb)
                failures.recordSuccess(placement, now)
            }

            TaskEndCause.ERROR -> failures.recordFailure(placement, now)

            TaskEndCause.NO_ROOM, TaskEndCause.BUSY -> delayRetry(job, now + RETRY_AFTER_REFUSAL_MS)

            TaskEndCause.UNKNOWN -> delayRetry(job, now + RETRY_OF_UNKNOWN_JOB_MS)

            TaskEndCause.HALTED, TaskEndCause.PEER_LOST, TaskEndCause.GANG_TIMED_OUT -> {}
        }
        if (job.spec.isGang) {
            gangs.onTaskEnded(placement, cause)
        } else {
            // The end of a service's replica is no result: the replica is placed again.
            shardState.finish(placement, done = cause == TaskEndCause.DONE && !job.spec.isService)
        }
    }

    private fun logUnexpectedEnd(placement: Placement, cause: TaskEndCause) {
        val isExpected = cause == TaskEndCause.DONE || (cause == TaskEndCause.HALTED && placement.stopReason != null)
        if (isExpected) return
        log.info(
            "task {} attempt {}: ended on {}: {}",
            placement.id,
            placement.attempt,
            placement.machine.name,
            cause,
        )
    }

    private fun delayRetry(job: Job, notBefore: Long) {
        job.placementNotBefore = maxOf(job.placementNotBefore, notBefore)
    }

    private companion object {
        /** After a refusal for lack of room, or because another attempt at the task is still on the machine. */
        const val RETRY_AFTER_REFUSAL_MS = 500L

        /** After a refusal because the worker has not found a description of the job yet. */
        const val RETRY_OF_UNKNOWN_JOB_MS = 2_000L
    }
}

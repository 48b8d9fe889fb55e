package io.reedmast.gangs

import io.reedmast.commands.CommandDispatcher
import io.reedmast.model.Job
import io.reedmast.model.Placement
import io.reedmast.model.ShardState
import io.reedmast.model.StopReason
import io.reedmast.wire.TaskEndCause
import org.slf4j.LoggerFactory

/**
 * Keeps the tasks of a gang together: either all tasks of an attempt start, or the whole attempt ends before the gang
 * is attempted again.
 *
 * A gang that has lost a task cannot continue. Its remaining tasks are stopped, and the gang is placed again, under a
 * new attempt number, only once there is evidence that each of them has ended. Until then, some of them may still run.
 */
class GangCoordinator(private val shardState: ShardState, private val dispatcher: CommandDispatcher) {
    private val log = LoggerFactory.getLogger("gangs")

    /** Stops the remaining tasks of gangs that have lost a task. */
    fun reconcile() {
        while (shardState.incompleteGangs.isNotEmpty()) {
            val job = shardState.incompleteGangs.first()
            shardState.incompleteGangs.remove(job)
            stopRemainingTasks(job, StopReason.GANG_INCOMPLETE)
        }
    }

    private fun stopRemainingTasks(job: Job, reason: StopReason) {
        for (placement in job.placements().toList()) {
            if (placement.stopReason == null) stopOrFinish(placement, reason)
        }
    }

    private fun stopOrFinish(placement: Placement, reason: StopReason) {
        if (isLaunchRuledOut(placement)) {
            shardState.finish(placement, done = false)
        } else {
            dispatcher.stop(placement, reason)
        }
    }

    /**
     * Whether the task cannot have been launched. Tasks are launched only once their placement is stored, so one whose
     * placement is neither stored nor being written runs nowhere.
     */
    private fun isLaunchRuledOut(placement: Placement): Boolean =
        !placement.committed && placement.job.chunkOf(placement.task).page?.isWriteInFlight != true

    /** Handles the end of a gang's task on its machine, for the [cause] that its worker reported. */
    fun onTaskEnded(placement: Placement, cause: TaskEndCause) {
        val job = placement.job
        when (cause) {
            TaskEndCause.DONE -> complete(job)

            // An orderly stop that began before this owner knew of it. The other tasks must be stopped in time too,
            // with a grace period for saving their state.
            TaskEndCause.HALTED -> {
                stopRemainingTasks(job, StopReason.DRAINED)
                shardState.finish(placement, done = false)
            }

            TaskEndCause.GANG_TIMED_OUT -> {
                backOff(job, placement.attempt)
                shardState.finish(placement, done = false)
            }

            else -> shardState.finish(placement, done = false)
        }
    }

    /**
     * Completes the whole gang. Its tasks complete together, so one completed task is evidence that all of them have
     * completed, including those on machines that no longer send heartbeats.
     */
    private fun complete(job: Job) {
        log.info("job {}: gang completed", job.spec.jobId)
        job.placements().toList().forEach { shardState.finish(it, done = true) }
        markAllDone(job)
    }

    private fun markAllDone(job: Job) {
        for (task in 0 until job.spec.taskCount) {
            job.markDone(task)
            shardState.markDirty(job.chunkOf(task))
        }
    }

    /**
     * Delays the next attempt after [attempt] timed out before all its tasks had started, because machines were too
     * slow or could not be reached. Without a delay, attempts might keep timing out forever.
     */
    private fun backOff(job: Job, attempt: Long) {
        if (job.lastTimedOutAttempt == attempt) return
        job.lastTimedOutAttempt = attempt
        val retryDelayMs = gangRetryDelayMs(job.timedOutAttempts)
        job.timedOutAttempts++
        job.placementNotBefore = maxOf(job.placementNotBefore, shardState.clock.now() + retryDelayMs)
    }

    /** Handles a job that has just been restored from the store, which may hold only some of the tasks of a gang. */
    fun onRestored(job: Job) {
        if (!job.spec.isGang) return
        when {
            job.doneCount > 0 -> complete(job)
            job.placedCount > 0 && !isPlacedAsOneAttempt(job) -> shardState.incompleteGangs.add(job)
        }
    }

    private fun isPlacedAsOneAttempt(job: Job): Boolean =
        job.placedCount >= job.spec.taskCount && job.placements().map { it.attempt }.distinct().count() == 1

    /**
     * Whether a placement that its worker does not list may be launched, for the first time or again.
     *
     * No task of a gang is launched before all the gang's placements are stored. Once any task of the gang runs, a
     * missing task is not launched again: the gang's other tasks are about to be stopped.
     */
    fun mayLaunch(placement: Placement): Boolean {
        if (!placement.job.spec.isGang) return true
        if (!placement.job.isCompleteGangStored) return false
        val hasStarted = placement.job.placements().any { it.running }
        if (hasStarted) shardState.incompleteGangs.add(placement.job)
        return !hasStarted
    }
}

/** The delay before the next attempt of a gang that timed out, as [earlierTimeouts] attempts had before this one. */
internal fun gangRetryDelayMs(earlierTimeouts: Int): Long =
    minOf(MAX_RETRY_DELAY_MS, FIRST_RETRY_DELAY_MS shl minOf(MAX_DOUBLINGS, earlierTimeouts))

private const val FIRST_RETRY_DELAY_MS = 500L
private const val MAX_RETRY_DELAY_MS = 16_000L
private const val MAX_DOUBLINGS = 5

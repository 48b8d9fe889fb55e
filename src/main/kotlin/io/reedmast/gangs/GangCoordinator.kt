package io.reedmast.gangs

import io.reedmast.commands.CommandDispatcher
import io.reedmast.model.Job
import io.reedmast.model.Placement
import io.reedmast.model.ShardState
import io.reedmast.model.StopReason
import io.reedmast.wire.TaskEndCause
import org.slf4j.LoggerFactory

/**
 * Keeps the tasks of a gang together: all of an attempt start, or all of it ends, before there is another attempt.
 *
 * A gang that has lost a task cannot go on. Its other tasks are stopped, and only when there is evidence for the end of
 * each of them is the gang placed again, under a new attempt number. Until then a task of it may still run somewhere.
 */
class GangCoordinator(private val shardState: ShardState, private val dispatcher: CommandDispatcher) {
    private val log = LoggerFactory.getLogger("gangs")

    /** Stops what remains of gangs that have lost a task. */
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

    /** Nothing is launched before its placement is stored: neither stored nor being written, it runs nowhere. */
    private fun isLaunchRuledOut(placement: Placement): Boolean =
        !placement.committed && placement.job.chunkOf(placement.task).page?.isWriteInFlight != true

    /** A task of a gang has ended on its machine, for the reason that its worker reported. */
    fun onTaskEnded(placement: Placement, cause: TaskEndCause) {
        val job = placement.job
        when (cause) {
            TaskEndCause.DONE -> complete(job)

            // An orderly stop that began before this owner knew of it: the others must be stopped in time, with grace
            // to save.
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
     * The tasks of a gang complete together: one that is done proves it of all, also of those whose machines are not
     * heard any more.
     */
    private fun complete(job: Job) {
        log.info("job {}: gang done", job.spec.jobId)
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
     * The attempt timed out before all its tasks had started: its machines were too slow, or not reached. Retried at
     * once, that might happen for ever.
     */
    private fun backOff(job: Job, attempt: Long) {
        if (job.lastTimedOutAttempt == attempt) return
        job.lastTimedOutAttempt = attempt
        val retryDelayMs = gangRetryDelayMs(job.timedOutAttempts)
        job.timedOutAttempts++
        job.placementNotBefore = maxOf(job.placementNotBefore, shardState.clock.now() + retryDelayMs)
    }

    /** The shard has just been read from the store. What is stored of a gang may be a part of it. */
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
     * Whether a placement that its worker does not list may be launched, now or again.
     *
     * Nothing of a gang is launched before all its placements are stored. A gang that has started does not take a task
     * back: its other tasks are about to stop.
     */
    fun mayLaunch(placement: Placement): Boolean {
        if (!placement.job.spec.isGang) return true
        if (!placement.job.isCompleteGangStored) return false
        val hasStarted = placement.job.placements().any { it.running }
        if (hasStarted) shardState.incompleteGangs.add(placement.job)
        return !hasStarted
    }
}

/** How long to wait before the next attempt of a gang of which [earlierTimeouts] attempts timed out before this one. */
internal fun gangRetryDelayMs(earlierTimeouts: Int): Long =
    minOf(MAX_RETRY_DELAY_MS, FIRST_RETRY_DELAY_MS shl minOf(MAX_DOUBLINGS, earlierTimeouts))

private const val FIRST_RETRY_DELAY_MS = 500L
private const val MAX_RETRY_DELAY_MS = 16_000L
private const val MAX_DOUBLINGS = 5

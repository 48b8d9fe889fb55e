package io.reedmast.gangs

import io.reedmast.commands.CommandDispatcher
import io.reedmast.model.Job
import io.reedmast.model.Placement
import io.reedmast.model.ShardState
import io.reedmast.model.StopReason
import io.reedmast.wire.Cause
import org.slf4j.LoggerFactory

/**
 * Keeps the tasks of a gang together: all of an attempt start, or all of it ends, before there is another attempt.
 *
 * A gang that has lost a task cannot go on. Its other tasks are stopped, and only when the evidence for the end of each
 * of them is there is the gang placed again, under a new attempt number. Until then a task of it may still run
 * somewhere.
 */
class GangCoordinator(private val shardState: ShardState, private val dispatcher: CommandDispatcher) {
    private val log = LoggerFactory.getLogger("gangs")

    /** Stops what is left of gangs that have lost a task. */
    fun reconcile() {
        while (shardState.incompleteGangs.isNotEmpty()) {
            val job = shardState.incompleteGangs.first()
            shardState.incompleteGangs.remove(job)
            stopRest(job, StopReason.GANG_INCOMPLETE)
        }
    }

    private fun stopRest(job: Job, reason: StopReason) {
        for (placement in job.placements().toList()) {
            if (placement.stopReason != null) continue
            if (!placement.committed && job.chunkOf(placement.task).page?.writing != true) {
                shardState.finish(placement, done = false)
            } else {
                dispatcher.stop(placement, reason)
            }
        }
    }

    /** A task of a gang has ended on its machine. */
    fun ended(placement: Placement, cause: Cause) {
        val job = placement.job
        when (cause) {
            Cause.DONE -> complete(job)

            // An orderly stop that began before this owner knew of it: the others must be told in time, with grace to
            // save.
            Cause.HALTED -> {
                stopRest(job, StopReason.DRAINED)
                shardState.finish(placement, done = false)
            }

            Cause.ALONE -> {
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
     * The gang did not become whole in time: its machines were too slow, or not reached. Tried at once, it might happen
     * for ever.
     */
    private fun backOff(job: Job, attempt: Long) {
        if (job.lastAloneAttempt == attempt) return
        job.lastAloneAttempt = attempt
        val pauseMs = minOf(MAX_BACKOFF_MS, FIRST_BACKOFF_MS shl minOf(MAX_DOUBLINGS, job.attemptsAlone))
        job.attemptsAlone++
        job.notBefore = maxOf(job.notBefore, shardState.clock.now() + pauseMs)
    }

    /** The shard has just been read. What is stored of a gang may be a part of it. */
    fun onRestored(job: Job) {
        if (!job.spec.gang || job.placedCount + job.doneCount == 0) return
        if (job.doneCount > 0) {
            complete(job)
        } else if (job.placedCount < job.spec.taskCount || job.placements().map { it.attempt }.distinct().count() > 1) {
            shardState.incompleteGangs.add(job)
        }
    }

    /**
     * Whether a placement that its worker does not list may be launched, now or again.
     *
     * Nothing of a gang is launched before all its placements are stored. One that has started does not take a task
     * back: the others are about to leave.
     */
    fun mayLaunch(placement: Placement): Boolean {
        val job = placement.job
        if (!job.spec.gang) return true
        if (!job.isWholeGangStored) return false
        if (job.placements().none { it.running }) return true
        shardState.incompleteGangs.add(job)
        return false
    }

    private companion object {
        const val FIRST_BACKOFF_MS = 500L
        const val MAX_BACKOFF_MS = 16_000L
        const val MAX_DOUBLINGS = 5
    }
}

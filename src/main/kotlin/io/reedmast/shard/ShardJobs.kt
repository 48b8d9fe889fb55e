package io.reedmast.shard

import io.reedmast.commands.CommandDispatcher
import io.reedmast.jobs.LiveJob
import io.reedmast.jobs.LiveRecord
import io.reedmast.model.Job
import io.reedmast.model.ShardState
import io.reedmast.model.StopReason
import io.reedmast.persistence.PageFormat
import org.slf4j.LoggerFactory

/**
 * The unfinished jobs of one shard, as known to its owner: adds them when their records are read, stops them when they
 * are cancelled, and removes them when they are over.
 *
 * A job is added from its record, and removed in one of two cases: its end has been stored ([forget]), or its record no
 * longer exists ([onJobGone]).
 */
internal class ShardJobs(
    private val shardState: ShardState,
    private val dispatcher: CommandDispatcher,
    /** Discards what is kept for storing the progress of a job. */
    private val forgetProgress: (Job) -> Unit,
) {
    private val log = LoggerFactory.getLogger("shard")
    private val settings = shardState.settings

    /** Whether the job's team is in the settings; a job whose team is not is never scheduled. */
    fun hasKnownTeam(live: LiveJob): Boolean = live.record.spec.teamName in settings.teamsByName

    /**
     * Called when a job of the shard is new or its user has cancelled it. While the shard is being restored, the change
     * is only kept in the job index, from which the restoration takes the jobs.
     */
    fun onJobChanged(live: LiveJob) {
        if (!shardState.active) return
        val job = shardState.jobs[live.record.spec.jobId] ?: add(live) ?: return
        job.version = maxOf(job.version, live.version)
        if (live.record.isCancelled && !job.isCancelled) {
            job.isCancelled = true
            shardState.changedJobs.add(job)
            stopAll(job)
        }
        shardState.schedulingPassRequested = true
    }

    /** Called when the job's record no longer exists. Tasks that are still placed, an unexpected state, are stopped. */
    fun onJobGone(jobId: String) {
        val job = shardState.jobs[jobId] ?: return
        if (job.placedCount == 0) {
            forget(job)
        } else if (!job.isCancelled) {
            log.error("job {}: its record is gone while {} tasks are placed", jobId, job.placedCount)
            job.isCancelled = true
            stopAll(job)
        }
    }

    /** Adds the job with all its tasks pending; null if its team is not in the settings. */
    fun add(live: LiveJob): Job? {
        val spec = live.record.spec
        val team = settings.teamsByName[spec.teamName]
        if (team == null) {
            log.error("job {}: its team {} is not in the settings", spec.jobId, spec.teamName)
            return null
        }
        val job = Job(spec, team, chunkSizeOf(live.record), live.record.acceptedAtMs, live.version)
        job.isCancelled = live.record.isCancelled
        shardState.jobs[spec.jobId] = job
        shardState.changedJobs.add(job)
        val now = shardState.clock.now()
        job.restartWaiting(now)
        shardState.jobArrivals.record(spec, now, isRestored = !shardState.active)
        return job
    }

    /**
     * The job's chunk size as recorded, but no more than the reduced limits allow if they apply: an earlier version
     * stored progress in larger chunks.
     */
    private fun chunkSizeOf(record: LiveRecord): Int {
        val limits = shardState.limits
        if (!limits.isReduced) return record.chunkSize
        return minOf(record.chunkSize, PageFormat.chunkSizeFor(limits.target.valueBytes))
    }

    /** Removes a job that is over. */
    fun forget(job: Job) {
        shardState.jobs.remove(job.spec.jobId)
        forgetProgress(job)
        shardState.schedulingPassRequested = true
    }

    /**
     * Ends the placements that are neither stored nor being written, so that they cannot be known outside this process,
     * and stops the others on their machines.
     */
    fun stopAll(job: Job) {
        for (placement in job.placements().toList()) {
            if (!placement.committed && job.chunkOf(placement.task).page?.isWriteInFlight != true) {
                shardState.finish(placement, done = false)
            } else {
                dispatcher.stop(placement, StopReason.CANCELLED)
            }
        }
    }
}

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
 * The unfinished jobs of one shard in its owner's hands: adds them as their records are read, stops them when they are
 * cancelled, and forgets them when they are over.
 *
 * A job enters here from its record and leaves in one of two ways: its end has been stored ([forget]), or its record
 * has disappeared ([onJobGone]).
 */
internal class ShardJobs(
    private val shardState: ShardState,
    private val dispatcher: CommandDispatcher,
    /** Drops what is kept for storing the progress of a job. */
    private val forgetProgress: (Job) -> Unit,
) {
    private val log = LoggerFactory.getLogger("shard")
    private val settings = shardState.settings

    /** Whether a job belongs to a team of the settings; one that does not is never scheduled. */
    fun hasKnownTeam(live: LiveJob): Boolean = live.record.spec.teamName in settings.teamsByName

    /** A job of the shard is new, or its user has cancelled it. While the shard is being read, the index remembers. */
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

    /** The record of the job is gone. What still runs of it, if anything could, is stopped. */
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

    /** An earlier version stored progress in chunks that the reduced limits do not allow. */
    private fun chunkSizeOf(record: LiveRecord): Int {
        val limits = shardState.limits
        if (!limits.isReduced) return record.chunkSize
        return minOf(record.chunkSize, PageFormat.chunkSizeFor(limits.target.valueBytes))
    }

    /** Drops a job that is over. */
    fun forget(job: Job) {
        shardState.jobs.remove(job.spec.jobId)
        forgetProgress(job)
        shardState.schedulingPassRequested = true
    }

    /** Ends the placements of which no trace can have left this process, and stops the others on their machines. */
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

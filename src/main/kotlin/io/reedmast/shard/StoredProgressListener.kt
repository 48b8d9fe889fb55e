package io.reedmast.shard

import io.reedmast.commands.CommandDispatcher
import io.reedmast.jobs.FinalRecord
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.StoredItem
import io.reedmast.model.Job
import io.reedmast.model.Placement
import io.reedmast.model.ShardState
import io.reedmast.model.StopReason
import io.reedmast.persistence.ProgressListener
import org.slf4j.LoggerFactory

/** Acts when a shard's progress has been stored: launches placements, and completes jobs that are over. */
internal class StoredProgressListener(
    private val shardState: ShardState,
    private val dispatcher: CommandDispatcher,
    private val jobs: ShardJobs,
    private val records: ShardRecords,
) : ProgressListener {
    private val log = LoggerFactory.getLogger("shard")
    private val shard = shardState.index

    override fun onPlacementStored(placement: Placement) {
        if (placement.committed) return
        shardState.recordStored(placement)
        if (!placement.job.isCurrent(placement)) return
        if (placement.job.isCancelled) dispatcher.stop(placement, StopReason.CANCELLED)
        if (placement.stopReason == null) {
            launch(placement)
        } else if (placement.launchEpoch == 0L) {
            // The placement was never launched, so nothing has to be stopped.
            shardState.finish(placement, done = false)
        }
    }

    /** A gang is launched all at once, when the last of its placements is stored. */
    private fun launch(placement: Placement) {
        val job = placement.job
        when {
            !job.spec.isGang -> dispatcher.launch(placement)
            job.isCompleteGangStored -> job.placements().forEach { dispatcher.launch(it) }
        }
    }

    override fun onTermConflict() = records.refreshShardRecord(shard)

    override fun onGatesConflict() = records.rollout.refreshGates()

    override fun onJobRecordChanged(path: String, item: StoredItem?) {
        if (item == null) {
            jobs.onJobGone(path.substringAfterLast('/'))
        } else {
            records.jobs.applyRecord(path, item.value, item.version)
        }
    }

    override fun onJobEnded(job: Job, end: FinalRecord, revision: Long) {
        val jobId = job.spec.jobId
        log.info("job {}: {}", jobId, if (job.isCancelled) "cancellation complete" else "done")
        jobs.forget(job)
        records.jobs.applyRecord(Keys.endedJob(jobId), end.toFields(), revision)
        records.jobs.applyRecord(Keys.liveJob(shard.value, jobId), null, revision)
    }
}

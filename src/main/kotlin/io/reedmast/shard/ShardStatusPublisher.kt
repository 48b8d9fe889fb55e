package io.reedmast.shard

import io.reedmast.model.ShardState
import io.reedmast.ports.JobProgress
import io.reedmast.ports.PeerMessage
import io.reedmast.ports.PeerTransport

/**
 * Sends the other controllers the progress of the shard's jobs, for display to their users, and hints about its
 * machines for the controller that takes the shard over.
 */
internal class ShardStatusPublisher(
    private val shardState: ShardState,
    private val peers: PeerTransport,
    private val records: ShardRecords,
) {
    private var dueAt = 0L
    private var publications = 0

    /** Publishes what has changed, if an update is due at [now]. */
    fun publishIfDue(now: Long) {
        if (now < dueAt) return
        dueAt = now + PUBLISH_INTERVAL_MS
        // A controller that has just restarted has none of it, so everything is sent again from time to time.
        val isFull = ++publications % UPDATES_PER_FULL_UPDATE == 0
        val progress = progressToPublish(isFull)
        val hints = records.machineDirectory.hints(shardState.machines.keys, isFull)
        if (progress.isEmpty() && hints.isEmpty()) return
        records.jobs.applyProgressUpdates(progress)
        peers.broadcast(PeerMessage.ShardStatusUpdate(progress, hints))
    }

    /** The counts that differ from those last published, or all of them. */
    private fun progressToPublish(isFull: Boolean): List<JobProgress> {
        val updates = ArrayList<JobProgress>()
        for (job in shardState.jobs.values) {
            if (!isFull && job.doneCount == job.publishedDone && job.runningCount == job.publishedRunning) continue
            job.publishedDone = job.doneCount
            job.publishedRunning = job.runningCount
            updates.add(JobProgress(job.spec.jobId, job.doneCount, job.runningCount))
        }
        return updates
    }

    private companion object {
        const val PUBLISH_INTERVAL_MS = 1_000L

        /** One in this many updates contains everything. */
        const val UPDATES_PER_FULL_UPDATE = 10
    }
}

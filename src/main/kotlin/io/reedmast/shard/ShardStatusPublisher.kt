package io.reedmast.shard

import io.reedmast.model.ShardState
import io.reedmast.ports.JobProgress
import io.reedmast.ports.PeerMessage
import io.reedmast.ports.PeerTransport

/**
 * Sends the other controllers how far jobs are, for their users' display, and what helps the one that takes the shard
 * over.
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
        // A controller that has just come back knows nothing: now and then everything is sent again.
        val isFull = ++publications % FULL_UPDATE_TURN == 0
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

        /** Every so many updates one is full. */
        const val FULL_UPDATE_TURN = 10
    }
}

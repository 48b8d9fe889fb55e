package io.reedmast.shard

import io.reedmast.model.ShardState
import io.reedmast.ports.JobProgress
import io.reedmast.ports.PeerMessage
import io.reedmast.ports.PeerTransport

/**
 * Tells the other controllers how far jobs are, for their users' display, and what helps whoever takes the shard over.
 */
class ShardStatusPublisher(
    private val shardState: ShardState,
    private val peers: PeerTransport,
    private val records: ShardRecords,
) {
    private var due = 0L
    private var publications = 0

    fun publishIfDue(now: Long) {
        if (now < due) return
        due = now + PUBLISH_INTERVAL_MS
        // A controller that has just come back knows nothing: now and then all is told again.
        val all = ++publications % PUBLISH_ALL_TURN == 0
        val progress = progress(all)
        val hints = records.machineDirectory.hints(shardState.machines.keys, all)
        if (progress.isEmpty() && hints.isEmpty()) return
        records.jobs.applyProgressUpdates(progress)
        peers.broadcast(PeerMessage.ShardStatusUpdate(progress, hints))
    }

    private fun progress(all: Boolean): List<JobProgress> {
        val news = ArrayList<JobProgress>()
        for (job in shardState.jobs.values) {
            if (!all && job.doneCount == job.publishedDone && job.runningCount == job.publishedRunning) continue
            job.publishedDone = job.doneCount
            job.publishedRunning = job.runningCount
            news.add(JobProgress(job.spec.jobId, job.doneCount, job.runningCount))
        }
        return news
    }

    private companion object {
        const val PUBLISH_INTERVAL_MS = 1_000L
        const val PUBLISH_ALL_TURN = 10
    }
}

package io.reedmast.jobs

import io.reedmast.peers.JobProgress
import io.reedmast.peers.PeerMessage
import io.reedmast.ports.Gateway

/** Tells the other controllers how far jobs are, for their users' display, and what helps whoever takes the shard over. */
class ShardStatusPublisher(private val shardState: ShardState, private val out: Gateway, private val records: ShardRecords) {
    private var due = 0L
    private var tellings = 0

    fun tellIfDue(now: Long) {
        if (now < due) return
        due = now + TELL_EVERY_MS
        // A controller that has just come back knows nothing: now and then all is told again.
        val all = ++tellings % TELL_ALL_EACH == 0
        val progress = progress(all)
        val hosts = records.hostDirectory.news(shardState.machines.keys, all)
        if (progress.isEmpty() && hosts.isEmpty()) return
        records.jobs.noteProgress(progress)
        out.sendToPeers(PeerMessage.ShardStatusUpdate(progress, hosts))
    }

    private fun progress(all: Boolean): List<JobProgress> {
        val news = ArrayList<JobProgress>()
        for (job in shardState.jobs.values) {
            if (!all && job.doneCount == job.toldDone && job.runningCount == job.toldRunning) continue
            job.toldDone = job.doneCount
            job.toldRunning = job.runningCount
            news.add(JobProgress(job.spec.jobId, job.doneCount, job.runningCount))
        }
        return news
    }

    private companion object {
        const val TELL_EVERY_MS = 1_000L
        const val TELL_ALL_EACH = 10
    }
}

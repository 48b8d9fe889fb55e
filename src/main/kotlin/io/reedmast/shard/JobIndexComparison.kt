package io.reedmast.shard

import io.reedmast.model.ShardState
import org.slf4j.LoggerFactory

/**
 * Compares the owner's jobs with the job index periodically. The owner must know every unfinished job of the shard; one
 * that it does not know would wait for ever.
 */
internal class JobIndexComparison(
    private val shardState: ShardState,
    private val jobs: ShardJobs,
    private val records: ShardRecords,
) {
    private val log = LoggerFactory.getLogger("shard")
    private val shard = shardState.index
    private var dueAt = 0L

    /** If a comparison is due at [now], adds the jobs that are missing and logs an error for each. */
    fun runIfDue(now: Long) {
        if (now < dueAt) return
        dueAt = now + INTERVAL_MS
        for (live in records.jobs.liveJobsOf(shard)) {
            val jobId = live.record.spec.jobId
            if (jobId in shardState.jobs || !jobs.hasKnownTeam(live)) continue
            log.error("job {}: unfinished, but unknown to the owner of shard {}", jobId, shard.value)
            jobs.onJobChanged(live)
        }
    }

    private companion object {
        const val INTERVAL_MS = 5_000L
    }
}

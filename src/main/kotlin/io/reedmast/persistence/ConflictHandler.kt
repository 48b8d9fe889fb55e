package io.reedmast.persistence

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.ReadResult
import io.reedmast.model.Placement
import io.reedmast.model.ShardState
import io.reedmast.ports.KeyValueStore
import org.slf4j.LoggerFactory

/**
 * Handles transactions whose preconditions failed: because the shard's term or a gate of the rollout has changed, a
 * user has cancelled the job, or the page has another version, which can happen when an answer to this controller was
 * lost. Whatever has changed is read again before the next write.
 */
internal class ConflictHandler(
    private val shardState: ShardState,
    private val store: KeyValueStore,
    private val pages: ProgressPages,
    private val listener: ProgressListener,
) {
    private val log = LoggerFactory.getLogger("shard")
    private val shard = shardState.index.value

    /** Handles the failed preconditions on [failedPaths] of the transaction with a job's final record. */
    fun onFinalRecordConflict(failedPaths: Set<String>) {
        reportTermAndGatesConflicts(failedPaths)
        withdrawAndReadJobs(failedPaths, emptyList())
    }

    /**
     * Handles the failed preconditions on [failedPaths] of a write of [page], which was to store the placements
     * [written].
     */
    fun onPageConflict(failedPaths: Set<String>, page: ProgressPage, written: List<Placement>) {
        reportTermAndGatesConflicts(failedPaths)
        if (Keys.ROLLOUT in failedPaths) page.retryNotBefore = shardState.clock.now() + GATES_READ_DELAY_MS
        withdrawAndReadJobs(failedPaths, written)
        val path = pages.pathOf(page)
        if (path in failedPaths) store.refreshVersion(page, path)
    }

    private fun reportTermAndGatesConflicts(failedPaths: Set<String>) {
        if (Keys.shard(shard) in failedPaths) listener.onTermConflict()
        if (Keys.ROLLOUT in failedPaths) listener.onGatesConflict()
    }

    private fun withdrawAndReadJobs(failedPaths: Set<String>, written: List<Placement>) {
        for (path in failedPaths) {
            val jobId = jobIdOf(path) ?: continue
            withdrawPlacements(jobId, written)
            shardState.jobs[jobId]?.let { it.placementNotBefore = shardState.clock.now() + JOB_READ_DELAY_MS }
            readJobRecord(path)
        }
    }

    /** The ID of the job whose record has the key [path]; null if the key is not that of a job's record. */
    private fun jobIdOf(path: String): String? {
        val prefix = Keys.liveJob(shard, "")
        return if (path.startsWith(prefix)) path.removePrefix(prefix) else null
    }

    /**
     * Withdraws the placements of the job among [written] that are not stored: with the same precondition their write
     * would fail again, and nothing of the job is placed before its record is known.
     */
    private fun withdrawPlacements(jobId: String, written: List<Placement>) {
        val uncommitted = written.filter { it.job.spec.jobId == jobId && !it.committed }
        if (uncommitted.isNotEmpty()) {
            log.info(
                "job {}: its record has changed, withdrawing {} placements, {} of which have ended",
                jobId,
                uncommitted.size,
                uncommitted.count { !it.job.isCurrent(it) },
            )
        }
        uncommitted.forEach { shardState.finish(it, done = false) }
    }

    private fun readJobRecord(path: String) {
        store.get(path) { result ->
            if (shardState.dropped) return@get
            when (result) {
                is ReadResult.Found -> listener.onJobRecordChanged(path, result.item)
                ReadResult.Missing -> listener.onJobRecordChanged(path, null)
                ReadResult.Failed -> Unit
            }
        }
    }

    private companion object {
        const val JOB_READ_DELAY_MS = 500L
        const val GATES_READ_DELAY_MS = 150L
    }
}

package io.reedmast.persistence

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.ReadResult
import io.reedmast.model.Placement
import io.reedmast.model.ShardState
import io.reedmast.ports.KeyValueStore

/**
 * Handles preconditions that did not hold: the term had moved on, a gate of the rollout, a job that its user has
 * cancelled, or the page, if an answer to this controller was lost. What has moved is read again before the next write.
 */
internal class ConflictHandler(
    private val shardState: ShardState,
    private val store: KeyValueStore,
    private val pages: ProgressPages,
    private val listener: ProgressListener,
) {
    private val shard = shardState.index.value

    /** The preconditions on [failedPaths] of a job's final record did not hold. */
    fun onFinalRecordConflict(failedPaths: Set<String>) {
        reportTermAndGates(failedPaths)
        withdrawAndReadJobs(failedPaths, emptyList())
    }

    /** The preconditions on [failedPaths] of a write of [page] did not hold; [written] were to be stored by it. */
    fun onPageConflict(failedPaths: Set<String>, page: ProgressPage, written: List<Placement>) {
        reportTermAndGates(failedPaths)
        if (Keys.ROLLOUT in failedPaths) page.retryNotBefore = shardState.clock.now() + READ_GATES_DELAY_MS
        withdrawAndReadJobs(failedPaths, written)
        val path = pages.pathOf(page)
        if (path in failedPaths) store.refreshVersion(page, path)
    }

    private fun reportTermAndGates(failedPaths: Set<String>) {
        if (Keys.shard(shard) in failedPaths) listener.onTermConflict()
        if (Keys.ROLLOUT in failedPaths) listener.onGatesConflict()
    }

    private fun withdrawAndReadJobs(failedPaths: Set<String>, written: List<Placement>) {
        for (path in failedPaths) {
            val jobId = jobIdOf(path) ?: continue
            withdrawPlacements(jobId, written)
            shardState.jobs[jobId]?.let { it.placementNotBefore = shardState.clock.now() + READ_JOB_DELAY_MS }
            readJobRecord(path)
        }
    }

    /** The job whose record has this path; null if it is the path of something else. */
    private fun jobIdOf(path: String): String? {
        val prefix = Keys.liveJob(shard, "")
        return if (path.startsWith(prefix)) path.removePrefix(prefix) else null
    }

    /** Sent again as they are, they would only fail again: nothing is placed before the job's record is known. */
    private fun withdrawPlacements(jobId: String, written: List<Placement>) {
        val uncommitted = written.filter { it.job.spec.jobId == jobId && !it.committed }
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
        const val READ_JOB_DELAY_MS = 500L
        const val READ_GATES_DELAY_MS = 150L
    }
}

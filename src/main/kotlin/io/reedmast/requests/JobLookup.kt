package io.reedmast.requests

import io.reedmast.cluster.Cluster
import io.reedmast.jobs.FinalRecord
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.ReadResult
import io.reedmast.ports.KeyValueStore
import io.reedmast.wire.JobSpec
import io.reedmast.wire.MalformedException

/**
 * Looks up a job in any state, so that the result agrees with everything that any controller has answered before.
 *
 * A lookup waits until this controller knows everything that was stored when the lookup began. Only final states are
 * returned from memory immediately, since they never change.
 */
internal class JobLookup(private val store: KeyValueStore, private val cluster: Cluster) {
    private val jobs get() = cluster.jobs

    /** Calls [onResult] exactly once, either immediately or when the store has answered. */
    fun find(jobId: String, onResult: (JobLookupResult) -> Unit) {
        val finalRecord = jobs.ended[jobId]
        when {
            !JobSpec.isJobId(jobId) -> onResult(JobLookupResult.Unknown)
            finalRecord != null -> onResult(JobLookupResult.Ended(finalRecord))
            !cluster.isCurrent() -> onResult(JobLookupResult.Unavailable)
            else -> cluster.staleness.awaitJobsBarrier { isUpToDate -> findInIndex(jobId, isUpToDate, onResult) }
        }
    }

    private fun findInIndex(jobId: String, isUpToDate: Boolean, onResult: (JobLookupResult) -> Unit) {
        val job = jobs.liveJob(jobId)
        val finalRecord = jobs.ended[jobId]
        when {
            !isUpToDate -> onResult(JobLookupResult.Unavailable)
            finalRecord != null -> onResult(JobLookupResult.Ended(finalRecord))
            job != null -> onResult(JobLookupResult.Unfinished(job))
            jobs.isUnreadable(jobId) -> onResult(JobLookupResult.Unavailable)
            else -> readFinalRecord(jobId, onResult)
        }
    }

    /** Reads the final record of a job that is not among the unfinished: it ended long ago or was never submitted. */
    private fun readFinalRecord(jobId: String, onResult: (JobLookupResult) -> Unit) =
        store.get(Keys.endedJob(jobId)) { fetched ->
            when (fetched) {
                is ReadResult.Failed -> onResult(JobLookupResult.Unavailable)
                is ReadResult.Missing -> onResult(JobLookupResult.Unknown)
                is ReadResult.Found -> onResult(parseFinalRecord(jobId, fetched))
            }
        }

    private fun parseFinalRecord(jobId: String, found: ReadResult.Found): JobLookupResult = try {
        val finalRecord = FinalRecord.parse(found.item.value)
        jobs.ended.record(jobId, finalRecord)
        JobLookupResult.Ended(finalRecord)
    } catch (e: MalformedException) {
        jobs.unreadable.report(Keys.endedJob(jobId), e.message)
        JobLookupResult.Unavailable
    }
}

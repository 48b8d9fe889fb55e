package io.reedmast.jobs

import com.github.benmanes.caffeine.cache.Caffeine

/**
 * The jobs that this controller knows to have ended.
 *
 * A job is kept here for one of two reasons:
 *
 * - Its final record is known. That never changes, so it stays cached as long as there is room; once evicted, it is
 *   read from the store again.
 * - A transaction of this controller has removed the job's live record, and the watch has not delivered the removal
 *   yet. Until it does, the watch may still deliver the earlier live record, so the removal is kept until then, however
 *   many other jobs end meanwhile.
 */
class EndedJobs {
    private val finalRecords = Caffeine.newBuilder()
        .maximumSize(MAX_FINAL_RECORDS)
        .executor(Runnable::run)
        .build<String, FinalRecord>()

    /** Revisions at which this controller removed live records, by job, until the watch has reached them. */
    private val ownRemovals = HashMap<String, Long>()

    /** The job's final record; null if the job has not ended, or its final record is not cached any more. */
    operator fun get(jobId: String): FinalRecord? = finalRecords.getIfPresent(jobId)

    /** Caches a final record that the store holds. */
    fun record(jobId: String, end: FinalRecord) = finalRecords.put(jobId, end)

    /**
     * Records that this controller removed the job's live record at [revision]; the watch has not yet delivered
     * the changes up to that revision.
     */
    internal fun recordRemoval(jobId: String, revision: Long) {
        ownRemovals[jobId] = revision
    }

    /** Called when the watch or a listing has delivered all changes up to [revision]. */
    internal fun onObserved(revision: Long) {
        ownRemovals.values.removeIf { it <= revision }
    }

    /** Whether the job has ended, so that any live record of it is outdated. */
    internal operator fun contains(jobId: String): Boolean =
        jobId in ownRemovals || finalRecords.getIfPresent(jobId) != null

    private companion object {
        const val MAX_FINAL_RECORDS = 20_000L
    }
}

package io.reedmast.jobs

import com.github.benmanes.caffeine.cache.Caffeine

/**
 * The jobs that this controller knows to be over.
 *
 * A job is here for one of two reasons. Its final state is known: it never changes again, so it is kept as long as
 * there is room, and read from the store anew after that. Or this controller has removed the job's live record by a
 * transaction of its own, and the watch has not shown the removal yet: that is kept for as long, however many other
 * jobs end meanwhile, since the watch may still show the record as it was before.
 */
class EndedJobs {
    private val ends = Caffeine.newBuilder().maximumSize(MAX_ENDS).executor(Runnable::run).build<String, FinalRecord>()

    /** Revisions at which live records were removed here, by job, as long as the watch has not shown as much. */
    private val removedHere = HashMap<String, Long>()

    /** The job's final state; null if it is not over, or its end is not known here any more. */
    operator fun get(jobId: String): FinalRecord? = ends.getIfPresent(jobId)

    /** Records a final state that the store holds. */
    fun record(jobId: String, end: FinalRecord) = ends.put(jobId, end)

    /** A transaction of this controller has removed the live record at [revision], which the watch has not shown. */
    internal fun recordRemoval(jobId: String, revision: Long) {
        removedHere[jobId] = revision
    }

    /** The watch has shown all changes up to [revision]. */
    internal fun onObserved(revision: Long) {
        removedHere.values.removeIf { it <= revision }
    }

    /** Whether the job is over, so that a live record of it is an old one. */
    internal operator fun contains(jobId: String): Boolean = jobId in removedHere || ends.getIfPresent(jobId) != null

    private companion object {
        const val MAX_ENDS = 20_000L
    }
}

package io.reedmast.requests

import io.reedmast.jobs.FinalRecord
import io.reedmast.jobs.LiveJob

/** What this controller knows about a job that a user asks for. */
internal sealed interface JobLookupResult {
    /** The job is unfinished; its user may have cancelled it. */
    data class Unfinished(val job: LiveJob) : JobLookupResult

    /** The job has ended, and its state is final. */
    data class Ended(val finalRecord: FinalRecord) : JobLookupResult

    /** No such job has been submitted. */
    data object Unknown : JobLookupResult

    /** The answer cannot be given now: the store, or the job's record, could not be read. */
    data object Unavailable : JobLookupResult
}

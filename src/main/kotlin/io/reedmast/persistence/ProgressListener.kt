package io.reedmast.persistence

import io.reedmast.jobs.EndRecord
import io.reedmast.kvstore.StoredItem
import io.reedmast.model.Job
import io.reedmast.model.Placement

/** What an owner's storing tells the rest of it. */
interface ProgressListener {
    /** The placement is in the store now, and may be launched. */
    fun placed(placement: Placement)

    /** The term may have moved on. */
    fun termInDoubt()

    /** A gate of the rollout has moved. */
    fun gatesInDoubt()

    /** A job's record has moved on, or was found anew. */
    fun recordChanged(path: String, item: StoredItem?)

    /** The job's final state is stored. */
    fun ended(job: Job, end: EndRecord, revision: Long)
}

package io.reedmast.persistence

import io.reedmast.jobs.FinalRecord
import io.reedmast.kvstore.StoredItem
import io.reedmast.model.Job
import io.reedmast.model.Placement

/** What [ProgressStore] reports to the shard's owner, on the deciding thread. */
interface ProgressListener {
    /** The store holds the placement now, so it may be launched. */
    fun onPlacementStored(placement: Placement)

    /** The precondition on the shard's record did not hold: another controller may own the shard under a newer term. */
    fun onTermConflict()

    /** The precondition on the rollout's record did not hold: a gate has moved. */
    fun onGatesConflict()

    /**
     * The record of an unfinished job was read again, since a precondition on it did not hold.
     *
     * @param path the record's key
     * @param item the record as it now stands; null if it is gone
     */
    fun onJobRecordChanged(path: String, item: StoredItem?)

    /** The job's final record [end] is stored, as [revision], and the record of the unfinished job is deleted. */
    fun onJobEnded(job: Job, end: FinalRecord, revision: Long)
}

package io.reedmast.persistence

import io.reedmast.jobs.FinalRecord
import io.reedmast.kvstore.StoredItem
import io.reedmast.model.Job
import io.reedmast.model.Placement

/** Receives events of [ProgressStore] for the shard's owner, on the event loop. */
interface ProgressListener {
    /** The placement is stored, so it may be launched. */
    fun onPlacementStored(placement: Placement)

    /** The precondition on the shard's record failed: another controller may own the shard under a newer term. */
    fun onTermConflict()

    /** The precondition on the rollout's record failed: a gate has changed. */
    fun onGatesConflict()

    /**
     * The record of an unfinished job was read again because a precondition on it had failed.
     *
     * @param path the record's key
     * @param item the current record; null if it no longer exists
     */
    fun onJobRecordChanged(path: String, item: StoredItem?)

    /** The job's final record [end] is stored at [revision], and the record of the unfinished job is deleted. */
    fun onJobEnded(job: Job, end: FinalRecord, revision: Long)
}

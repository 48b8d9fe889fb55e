package io.reedmast.rollout

/** Serializes a migration's writes with those of other writers of the same records in this process. */
interface RecordAccess {
    /** Returns false while another write of the record is in flight; the migration then tries again later. */
    fun tryAcquire(path: String): Boolean

    /** Ends the migration's access to the record; [version] is the record's new version if it was written. */
    fun release(path: String, version: Long?)
}

package io.reedmast.rollout

/** Keeps a migration's writes apart from those of whoever else writes the records. */
interface RecordAccess {
    /** False while another write of the record is on its way: it is asked again later. */
    fun tryAcquire(path: String): Boolean

    /** The migration has done with the record; [version] is its new one if it was written. */
    fun release(path: String, version: Long?)
}

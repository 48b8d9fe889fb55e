package io.reedmast.persistence

import io.reedmast.rollout.RecordAccess

/**
 * Gives record migrations access to the pages. A page that is about to be written anyway gets the format that the
 * rollout requires by that write, and is not released to the migration before that write.
 */
internal class PageMigrationAccess(private val pages: ProgressPages) : RecordAccess {
    override fun tryAcquire(path: String): Boolean {
        val page = pages.find(path) ?: return true
        if (page.isWriteInFlight || page.dirtySince != 0L) return false
        page.isWriteInFlight = true
        return true
    }

    override fun release(path: String, version: Long?) {
        val page = pages.find(path) ?: return
        page.isWriteInFlight = false
        if (version == null) return
        page.version = maxOf(page.version, version)
        page.isStoredDense = pages.writesDense()
    }
}

package io.reedmast.persistence

import io.reedmast.rollout.RecordAccess

/**
 * How a migration of records gets at the pages. One that is to be written anyway takes the form that the rollout wants
 * by that write, and is not given to the migration before.
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

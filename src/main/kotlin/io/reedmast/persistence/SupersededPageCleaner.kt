package io.reedmast.persistence

import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.WritePriority
import io.reedmast.model.Chunk
import io.reedmast.model.ShardState
import io.reedmast.ports.KeyValueStore

/**
 * Clears stored pages whose content is split anew and stored in other pages.
 *
 * A page that an earlier version stored may be larger than the reduced limits allow; it can then only be replaced by a
 * small value. Therefore each of its parts is first stored in another page. Until all parts are, the old page is left
 * unchanged, and a reader of both uses the newer copy of each task. The procedure may be interrupted after any step.
 */
internal class SupersededPageCleaner(
    private val shardState: ShardState,
    private val store: KeyValueStore,
    private val pages: ProgressPages,
    private val committer: PageCommitter,
) {
    /** Records that the stored value of [page] holds an older copy of tasks that [chunk] covers. */
    fun supersede(page: ProgressPage, chunk: Chunk) {
        if (!page.supersedingChunks.add(chunk)) return
        chunk.supersededCopies++
        if (chunk.page == null) chunk.dirty = true
        shardState.changedJobs.add(chunk.job)
    }

    /** Clears the pages whose entire content is stored in other pages. */
    fun clearObsolete() {
        for (page in pages.all) {
            if (page.supersedingChunks.isEmpty() || page.isWriteInFlight) continue
            if (page.supersedingChunks.all { isOldCopyObsolete(it) }) clear(page)
        }
    }

    private fun isOldCopyObsolete(chunk: Chunk): Boolean {
        val isJobOver = shardState.jobs[chunk.job.spec.jobId] !== chunk.job
        return isJobOver || (chunk.page != null && chunk.isStoredInItsPage)
    }

    private fun clear(page: ProgressPage) {
        committer.put(
            page,
            WritePriority.DEFERRED,
            jobPreconditions = emptyList(),
            encode = { format -> format.toFields(emptyList()) },
            onOutcome = { outcome -> onOutcome(outcome, page) },
        )
    }

    private fun onOutcome(outcome: CommitOutcome, page: ProgressPage) {
        when (outcome) {
            is CommitOutcome.Applied -> onCleared(page)
            is CommitOutcome.Conflict, is CommitOutcome.Refused -> store.refreshVersion(page, pages.pathOf(page))
        }
    }

    private fun onCleared(page: ProgressPage) {
        page.supersedingChunks.forEach { it.supersededCopies-- }
        page.supersedingChunks.clear()
    }
}

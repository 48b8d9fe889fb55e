package io.reedmast.persistence

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.ReadResult
import io.reedmast.kvstore.Write
import io.reedmast.kvstore.WritePriority
import io.reedmast.model.Chunk
import io.reedmast.model.ShardState
import io.reedmast.ports.KeyValueStore

/**
 * Clears stored pages whose content has been divided anew.
 *
 * A page that an earlier version stored may be larger than the reduced limits allow: it can then be replaced by a small
 * value only. So each of its parts is first stored in another page. Until all are, the old page stays as it is, and
 * whoever reads both takes the newer copy of a task. Any step may be the last that is carried out.
 */
class SupersededPages(private val shardState: ShardState, private val store: KeyValueStore) {
    /** [chunk] speaks for tasks of which [page] holds an older copy. */
    fun supersede(page: ProgressPage, chunk: Chunk) {
        if (!page.superseded.add(chunk)) return
        chunk.olderCopies++
        if (chunk.page == null) chunk.dirty = true
        shardState.changed.add(chunk.job)
    }

    /** Clears the pages all of whose content stands in other ones. */
    fun clear(pages: List<ProgressPage>, shard: Int) {
        for (page in pages) {
            if (page.superseded.isEmpty() || page.writing) continue
            if (page.superseded.all { isElsewhere(it) }) clear(page, Keys.page(shard, page.index))
        }
    }

    private fun isElsewhere(chunk: Chunk): Boolean {
        val over = shardState.jobs[chunk.job.spec.jobId] !== chunk.job
        return over || (chunk.page != null && chunk.isInItsPage)
    }

    private fun clear(page: ProgressPage, path: String) {
        page.writing = true
        val gates = shardState.gates()
        val form = PageForm.toWrite(gates, shardState.limits.isReduced)
        val preconditions = listOf(shardState.termPrecondition, gates.precondition, Precondition(path, page.version))
        store.commit(
            CasTransaction(
                preconditions,
                listOf(Write.Put(path, form.toFields(emptyList()))),
                WritePriority.DEFERRED,
            ) { outcome ->
                page.writing = false
                if (shardState.dropped) return@CasTransaction
                if (outcome is CommitOutcome.Applied) cleared(page, outcome.revision, form) else reread(page, path)
            },
        )
    }

    private fun cleared(page: ProgressPage, revision: Long, form: PageForm) {
        page.version = revision
        page.storedDense = form == PageForm.DENSE
        page.superseded.forEach { it.olderCopies-- }
        page.superseded.clear()
    }

    /** Nobody else writes the page under this term: an answer of our own may have been lost. */
    private fun reread(page: ProgressPage, path: String) {
        page.writing = true
        store.get(path) {
            page.writing = false
            if (it is ReadResult.Found) page.version = maxOf(page.version, it.item.version)
        }
    }
}

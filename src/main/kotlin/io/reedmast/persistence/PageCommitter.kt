package io.reedmast.persistence

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.Write
import io.reedmast.kvstore.WritePriority
import io.reedmast.model.ShardState
import io.reedmast.ports.KeyValueStore
import io.reedmast.wire.Fields

/**
 * Stores values of pages under the preconditions that all such writes share: the shard's term, the rollout's gates and
 * the page's version.
 */
internal class PageCommitter(
    private val shardState: ShardState,
    private val store: KeyValueStore,
    private val pages: ProgressPages,
) {
    /**
     * Stores a new value of [page], which counts as being written until the store has answered.
     *
     * @param jobPreconditions further preconditions, on records of jobs
     * @param encode returns the value in the format that is to be written now
     * @param onOutcome called with the store's answer, unless another owner has acquired the shard by then
     */
    fun put(
        page: ProgressPage,
        priority: WritePriority,
        jobPreconditions: List<Precondition>,
        encode: (PageFormat) -> Fields,
        onOutcome: (CommitOutcome) -> Unit,
    ) {
        page.isWriteInFlight = true
        val path = pages.pathOf(page)
        // The format and the precondition that guards it must come from the same snapshot of the gates.
        val gates = shardState.gates()
        val format = pages.formatToWrite(gates)
        val preconditions =
            listOf(shardState.termPrecondition, gates.precondition, Precondition(path, page.version)) + jobPreconditions
        val put = Write.Put(path, encode(format))
        val transaction = CasTransaction(preconditions, listOf(put), priority) { outcome ->
            page.isWriteInFlight = false
            if (shardState.dropped) return@CasTransaction
            if (outcome is CommitOutcome.Applied) page.recordStored(outcome.revision, format)
            onOutcome(outcome)
        }
        store.commit(transaction)
    }
}

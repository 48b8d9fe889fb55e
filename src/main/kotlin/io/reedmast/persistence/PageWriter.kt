package io.reedmast.persistence

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.Write
import io.reedmast.kvstore.WritePriority
import io.reedmast.model.Job
import io.reedmast.model.PendingWrite
import io.reedmast.model.Placement
import io.reedmast.model.ShardState
import io.reedmast.ports.KeyValueStore
import io.reedmast.rollout.GateSnapshot
import org.slf4j.LoggerFactory

/**
 * Writes one page and handles what becomes of the write.
 *
 * Each job that is placed anew is a precondition of the write, so nothing is placed after a cancellation.
 */
internal class PageWriter(
    private val shardState: ShardState,
    private val store: KeyValueStore,
    private val pages: ProgressPages,
    private val conflicts: ConflictHandler,
    private val listener: ProgressListener,
) {
    private val log = LoggerFactory.getLogger("shard")

    /**
     * What one write stores of the placements that the store does not hold yet.
     *
     * @property jobs the jobs of the [included] ones
     * @property excluded those that are left to the next write
     */
    private class PlacementSelection(val jobs: List<Job>, val included: List<Placement>, val excluded: Set<Placement>)

    /** Hands the present state of [page] to the store. */
    fun write(page: ProgressPage, priority: WritePriority) {
        val selection = selectPlacements(page)
        recordHandedOver(page, selection)
        // The form and the precondition that it is the right one come from one snapshot of the gates.
        val gates = shardState.gates()
        val form = PageForm.toWrite(gates, shardState.limits.isReduced)
        val preconditions = preconditionsOf(page, selection.jobs, gates)
        val put = Write.Put(pages.pathOf(page), page.toFields(selection.excluded, form))
        val transaction = CasTransaction(preconditions, listOf(put), priority) { outcome ->
            page.writing = false
            if (!shardState.dropped) onOutcome(outcome, page, form, selection.included)
        }
        store.commit(transaction)
    }

    /** Each job that is placed anew is a precondition, and a transaction takes only so many. */
    private fun selectPlacements(page: ProgressPage): PlacementSelection {
        val maxJobs = shardState.limits.target.opsPerCommit * CONDITIONAL_JOBS_PER_WRITE
        val uncommitted = page.chunks.flatMap { chunk -> chunk.placements.values.filter { !it.committed } }
        val jobs = uncommitted.mapTo(LinkedHashSet()) { it.job }.take(maxJobs)
        val (included, excluded) = uncommitted.partition { it.job in jobs }
        return PlacementSelection(jobs, included, excluded.toHashSet())
    }

    private fun recordHandedOver(page: ProgressPage, selection: PlacementSelection) {
        page.isLastWriteAwaited = page.pendingWrite != PendingWrite.RESULTS
        page.chunks.forEach { it.dirty = false }
        if (selection.excluded.isEmpty()) {
            page.dirtySince = 0L
            page.pendingWrite = PendingWrite.RESULTS
        }
        page.writing = true
    }

    private fun preconditionsOf(page: ProgressPage, jobs: List<Job>, gates: GateSnapshot): List<Precondition> {
        val ofShard = listOf(
            shardState.termPrecondition,
            gates.precondition,
            Precondition(pages.pathOf(page), page.version),
        )
        val ofJobs = jobs.map { Precondition(Keys.live(shardState.index.value, it.spec.jobId), it.version) }
        return ofShard + ofJobs
    }

    private fun onOutcome(outcome: CommitOutcome, page: ProgressPage, form: PageForm, written: List<Placement>) {
        when (outcome) {
            is CommitOutcome.Applied -> onApplied(outcome, page, form, written)

            is CommitOutcome.Conflict -> {
                scheduleRewrite(page)
                conflicts.onPageConflict(outcome.failed, page, written)
            }

            is CommitOutcome.Refused -> onRefused(outcome, page, written)
        }
    }

    private fun onApplied(
        outcome: CommitOutcome.Applied,
        page: ProgressPage,
        form: PageForm,
        written: List<Placement>,
    ) {
        page.version = outcome.revision
        page.isStoredDense = form == PageForm.DENSE
        written.forEach { listener.onPlacementStored(it) }
    }

    /** The page is tried again soon; the placements that were new in it are withdrawn, and their jobs wait. */
    private fun onRefused(outcome: CommitOutcome.Refused, page: ProgressPage, written: List<Placement>) {
        log.error("record {}: refused by the store: {}", pages.pathOf(page), outcome.reason)
        page.retryNotBefore = shardState.clock.now() + REWRITE_DELAY_MS
        scheduleRewrite(page)
        for (placement in written) {
            placement.job.notBefore = shardState.clock.now() + REFUSED_JOB_DELAY_MS
            shardState.finish(placement, done = false)
        }
    }

    /** Has all of the page written again, at least as urgently as placements of arrays. */
    private fun scheduleRewrite(page: ProgressPage) {
        page.chunks.forEach { shardState.markDirty(it) }
        page.dirtySince = shardState.clock.now()
        val mostPressing = page.chunks.maxOfOrNull { shardState.pendingWriteOf(it) } ?: PendingWrite.RESULTS
        page.pendingWrite = maxOf(mostPressing, PendingWrite.ARRAY_PLACEMENTS)
    }

    private companion object {
        /**
         * Jobs that are placed anew by one put are preconditions of it, of which a transaction takes four for each
         * write ([io.reedmast.kvstore.EffectiveLimits.CONDITIONS_PER_CHANGE]); the shard's own need room too.
         */
        const val CONDITIONAL_JOBS_PER_WRITE = 3
        const val REWRITE_DELAY_MS = 500L
        const val REFUSED_JOB_DELAY_MS = 30_000L
    }
}

package io.reedmast.persistence

import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.WritePriority
import io.reedmast.model.Job
import io.reedmast.model.PendingWrite
import io.reedmast.model.Placement
import io.reedmast.model.ShardState
import org.slf4j.LoggerFactory

/**
 * Writes one page and handles what becomes of the write.
 *
 * Each job that is placed anew is a precondition of the write, so nothing is placed after a cancellation.
 */
internal class PageWriter(
    private val shardState: ShardState,
    private val committer: PageCommitter,
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
        committer.put(
            page,
            priority,
            preconditionsOn(selection.jobs),
            valueIn = { form -> page.toFields(selection.excluded, form) },
            onOutcome = { outcome -> onOutcome(outcome, page, selection.included) },
        )
    }

    /** Each job that is placed anew is a precondition, and a transaction takes only so many. */
    private fun selectPlacements(page: ProgressPage): PlacementSelection {
        val maxJobs = shardState.limits.target.writesPerTransaction * CONDITIONAL_JOBS_PER_WRITE
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
    }

    private fun preconditionsOn(jobs: List<Job>) =
        jobs.map { Precondition(Keys.liveJob(shardState.index.value, it.spec.jobId), it.version) }

    private fun onOutcome(outcome: CommitOutcome, page: ProgressPage, written: List<Placement>) {
        when (outcome) {
            is CommitOutcome.Applied -> written.forEach { listener.onPlacementStored(it) }

            is CommitOutcome.Conflict -> {
                scheduleRewrite(page)
                conflicts.onPageConflict(outcome.failedPaths, page, written)
            }

            is CommitOutcome.Refused -> onRefused(outcome, page, written)
        }
    }

    /** The page is tried again soon; the placements that were new in it are withdrawn, and their jobs wait. */
    private fun onRefused(outcome: CommitOutcome.Refused, page: ProgressPage, written: List<Placement>) {
        log.error("record {}: refused by the store: {}", pages.pathOf(page), outcome.reason)
        page.retryNotBefore = shardState.clock.now() + REWRITE_DELAY_MS
        scheduleRewrite(page)
        for (placement in written) {
            placement.job.placementNotBefore = shardState.clock.now() + REFUSED_JOB_DELAY_MS
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

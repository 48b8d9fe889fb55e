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
 * Writes one page and handles the outcome.
 *
 * The record of each job with new placements is a precondition of the write, so nothing is placed after a cancellation.
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
     * Which of the placements that are not stored yet are included in one write.
     *
     * @property jobs the jobs of the [included] placements
     * @property excluded the placements left to the next write
     */
    private class PlacementSelection(val jobs: List<Job>, val included: List<Placement>, val excluded: Set<Placement>)

    /** Submits the current state of [page] to the store. */
    fun write(page: ProgressPage, priority: WritePriority) {
        val selection = selectPlacements(page)
        recordSubmission(page, selection)
        committer.put(
            page,
            priority,
            preconditionsOn(selection.jobs),
            encode = { format -> page.toFields(selection.excluded, format) },
            onOutcome = { outcome -> onOutcome(outcome, page, selection.included) },
        )
    }

    /**
     * Limits the number of jobs with new placements, since each is a precondition and the preconditions of a
     * transaction are limited.
     */
    private fun selectPlacements(page: ProgressPage): PlacementSelection {
        val maxJobs = shardState.limits.target.writesPerTransaction * CONDITIONAL_JOBS_PER_WRITE
        val uncommitted = page.chunks.flatMap { chunk -> chunk.placements.values.filter { !it.committed } }
        val jobs = uncommitted.mapTo(LinkedHashSet()) { it.job }.take(maxJobs)
        val (included, excluded) = uncommitted.partition { it.job in jobs }
        return PlacementSelection(jobs, included, excluded.toHashSet())
    }

    private fun recordSubmission(page: ProgressPage, selection: PlacementSelection) {
        page.isLastWriteForPlacements = page.pendingWrite != PendingWrite.RESULTS
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

    /**
     * Schedules another write of the page, after [REWRITE_DELAY_MS] at the earliest. Withdraws the new placements that
     * the refused write contained, and places nothing more of their jobs for [REFUSED_JOB_DELAY_MS].
     */
    private fun onRefused(outcome: CommitOutcome.Refused, page: ProgressPage, written: List<Placement>) {
        log.error(
            "record {}: store refused the write, withdrawing its new placements: {}",
            pages.pathOf(page),
            outcome.reason,
        )
        page.retryNotBefore = shardState.clock.now() + REWRITE_DELAY_MS
        scheduleRewrite(page)
        for (placement in written) {
            placement.job.placementNotBefore = shardState.clock.now() + REFUSED_JOB_DELAY_MS
            shardState.finish(placement, done = false)
        }
    }

    /** Schedules a write of all chunks of the page, with at least the urgency of placements of arrays. */
    private fun scheduleRewrite(page: ProgressPage) {
        page.chunks.forEach { shardState.markDirty(it) }
        page.dirtySince = shardState.clock.now()
        val mostUrgent = page.chunks.maxOfOrNull { shardState.pendingWriteOf(it) } ?: PendingWrite.RESULTS
        page.pendingWrite = maxOf(mostUrgent, PendingWrite.ARRAY_PLACEMENTS)
    }

    private companion object {
        /**
         * How many jobs with new placements one put may store, for each write that a transaction may hold. Each job is
         * a precondition, of which a transaction may hold four for each write
         * ([io.reedmast.settings.StoreLimits.maxPreconditions]); the shard's own preconditions count as well.
         */
        const val CONDITIONAL_JOBS_PER_WRITE = 3
        const val REWRITE_DELAY_MS = 500L
        const val REFUSED_JOB_DELAY_MS = 30_000L
    }
}

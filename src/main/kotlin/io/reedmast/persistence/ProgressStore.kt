package io.reedmast.persistence

import io.reedmast.kvstore.StoredItem
import io.reedmast.model.Job
import io.reedmast.model.PendingWrite
import io.reedmast.model.ShardState
import io.reedmast.ports.KeyValueStore
import io.reedmast.rollout.RecordAccess

/**
 * Stores the progress of one shard: results and placements of its tasks in pages (see [ProgressPage]), and final
 * records of its jobs. Used only on the event loop.
 */
class ProgressStore(private val shardState: ShardState, private val store: KeyValueStore, listener: ProgressListener) {
    private val pages = ProgressPages(shardState)
    private val committer = PageCommitter(shardState, store, pages)
    private val supersededPageCleaner = SupersededPageCleaner(shardState, store, pages, committer)
    private val conflicts = ConflictHandler(shardState, store, pages, listener)
    private val pageWriter = PageWriter(shardState, committer, pages, conflicts, listener)
    private val finalRecords = FinalRecordWriter(shardState, store, conflicts, listener)

    /** Gives record migrations access to the pages. */
    val migrationAccess: RecordAccess = PageMigrationAccess(pages)

    /**
     * Whether the stored progress has to be read again because some of it no longer fits: the limits were reduced after
     * it had been read, or a dense page that is too full for the plain format has to be written in that.
     */
    val needsReload: Boolean get() = pages.needsReload

    /** Whether all decisions are stored and no write is in flight. Results may still be waiting to be written. */
    val areDecisionsStored: Boolean
        get() = finalRecords.isIdle &&
            pages.all.none { it.isWriteInFlight || it.pendingWrite != PendingWrite.RESULTS }

    /**
     * Restores the progress in the listed pages.
     *
     * @param chunkSizes the chunk sizes from the jobs' records, by job ID
     * @param place restores one placement
     */
    fun load(items: List<StoredItem>, chunkSizes: Map<String, Int>, place: (Job, StoredPlacement) -> Unit) =
        PageReader(shardState, pages, supersededPageCleaner, chunkSizes, place).load(items)

    /**
     * Stores changes that are not stored yet, as far as the write permits allow; [now] is the time of the shard's
     * clock.
     */
    fun flush(now: Long) {
        requestWritesOfChangedJobs(now)
        if (!shardState.isCurrent()) return
        finalRecords.writeDue()
        supersededPageCleaner.clearObsolete()
        writeDuePages(now)
    }

    private fun requestWritesOfChangedJobs(now: Long) {
        for (job in shardState.changedJobs) {
            val isKnown = shardState.jobs[job.spec.jobId] === job
            if (isKnown) requestWrites(job, now)
        }
        shardState.changedJobs.clear()
    }

    private fun requestWrites(job: Job, now: Long) {
        if (job.isFinished) finalRecords.enqueue(job)
        for (chunk in job.chunks) {
            if (chunk == null || !chunk.dirty) continue
            val page = chunk.page ?: pages.assignPage(chunk)
            page.requestWrite(now, shardState.pendingWriteOf(chunk))
        }
    }

    private fun writeDuePages(now: Long) {
        var placementWritesInFlight = pages.all.count { it.isWriteInFlight && it.isLastWriteForPlacements }
        for (page in duePages(now)) {
            val dirtyForMs = now - page.dirtySince
            val priority =
                PageWritePolicy.priorityOf(
                    page.pendingWrite,
                    dirtyForMs,
                    store.writePermitLevel(),
                    placementWritesInFlight,
                )
                    ?: continue
            pageWriter.write(page, priority)
            if (page.isLastWriteForPlacements) placementWritesInFlight++
        }
    }

    /** The pages that may be written now, in the order in which they get write permits. */
    private fun duePages(now: Long): List<ProgressPage> = pages.all
        .filter { it.dirtySince != 0L && !it.isWriteInFlight && now >= it.retryNotBefore }
        .filter { PageWritePolicy.isDue(it.pendingWrite, now - it.dirtySince) && !pages.isOverfull(it) }
        .sortedWith(compareByDescending<ProgressPage> { it.pendingWrite }.thenBy { it.dirtySince })

    /** Drops the state of a job that is over: nothing of it is stored any more. */
    fun forget(job: Job) {
        finalRecords.forget(job)
        for (chunk in job.chunks) {
            // Content of the job that a page still holds is ignored, so there is nothing left to store.
            chunk?.page?.remove(chunk)
            chunk?.page = null
            chunk?.dirty = false
        }
    }
}

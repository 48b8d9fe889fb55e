package io.reedmast.persistence

import io.reedmast.kvstore.StoredItem
import io.reedmast.model.Job
import io.reedmast.model.PendingWrite
import io.reedmast.model.ShardState
import io.reedmast.ports.KeyValueStore
import io.reedmast.rollout.RecordAccess

/**
 * Stores the progress of one shard: its tasks' results and placements in pages (see [ProgressPage]), and the final
 * records of its jobs. Runs on the deciding thread.
 */
class ProgressStore(private val shardState: ShardState, private val store: KeyValueStore, listener: ProgressListener) {
    private val pages = ProgressPages(shardState)
    private val committer = PageCommitter(shardState, store, pages)
    private val supersededPages = SupersededPages(shardState, store, pages, committer)
    private val conflicts = ConflictHandler(shardState, store, pages, listener)
    private val pageWriter = PageWriter(shardState, committer, pages, conflicts, listener)
    private val finalRecords = FinalRecordWriter(shardState, store, conflicts, listener)

    /** How a migration of records gets at the pages. */
    val migrationAccess: RecordAccess = PageMigrationAccess(pages)

    /**
     * Whether what it holds is to be read again, since the limits were lowered after it was, and some of it is too
     * large for them.
     */
    val needsReload: Boolean get() = pages.needsReload

    /** Whether all that was decided is stored, and nothing is on its way to be. */
    val areDecisionsStored: Boolean
        get() = finalRecords.isIdle &&
            pages.all.none { it.isWriteInFlight || it.pendingWrite != PendingWrite.RESULTS }

    /**
     * Restores the progress that the listed pages hold.
     *
     * @param chunkSizes the sizes of chunks by the jobs' records, by job id
     * @param place restores each placement
     */
    fun load(items: List<StoredItem>, chunkSizes: Map<String, Int>, place: (Job, StoredPlacement) -> Unit) =
        PageReader(shardState, pages, supersededPages, chunkSizes, place).load(items)

    /** Stores what differs from what is stored, as far as the write permits allow; [now] is the shard's clock. */
    fun flush(now: Long) {
        requestWritesOfChangedJobs(now)
        if (!shardState.isCurrent()) return
        finalRecords.writeDue()
        supersededPages.clearReplaced()
        writeDuePages(now)
    }

    private fun requestWritesOfChangedJobs(now: Long) {
        for (job in shardState.changed) {
            val isKnown = shardState.jobs[job.spec.jobId] === job
            if (isKnown) requestWrites(job, now)
        }
        shardState.changed.clear()
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

    /** The pages that may be written now, in the order in which they take the permits. */
    private fun duePages(now: Long): List<ProgressPage> = pages.all
        .filter { it.dirtySince != 0L && !it.isWriteInFlight && now >= it.retryNotBefore }
        .filter { PageWritePolicy.isDue(it.pendingWrite, now - it.dirtySince) && !pages.isOverfull(it) }
        .sortedWith(compareByDescending<ProgressPage> { it.pendingWrite }.thenBy { it.dirtySince })

    /** The job is over, and nothing of it is stored any more. */
    fun forget(job: Job) {
        finalRecords.forget(job)
        for (chunk in job.chunks) {
            // What a page still holds of a job that is over is ignored: there is nothing left to store.
            chunk?.page?.remove(chunk)
            chunk?.page = null
            chunk?.dirty = false
        }
    }
}

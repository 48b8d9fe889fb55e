package io.reedmast.persistence

import io.reedmast.kvstore.StoredItem
import io.reedmast.model.Job
import io.reedmast.model.ShardState
import io.reedmast.wire.BodyCodec
import io.reedmast.wire.MalformedException
import org.slf4j.LoggerFactory
import java.util.BitSet

/**
 * Restores a shard's progress from its stored pages.
 *
 * A page that would be split differently today is read, and its content is stored in other pages: see
 * [SupersededPageCleaner]. Until the old page has been cleared, two pages cover the same tasks, and the newer one is
 * authoritative for their placements.
 *
 * @param chunkSizes the chunk sizes from the jobs' records, by job ID
 * @param place restores one placement
 */
internal class PageReader(
    private val shardState: ShardState,
    private val pages: ProgressPages,
    private val supersededPageCleaner: SupersededPageCleaner,
    private val chunkSizes: Map<String, Int>,
    private val place: (Job, StoredPlacement) -> Unit,
) {
    private val log = LoggerFactory.getLogger("shard")

    /** The tasks whose newest copy has been read, by job. */
    private val tasksRead = HashMap<Job, BitSet>()

    /**
     * Restores the progress in [items], the newest page first. Chunks of jobs that are not in the shard's state are
     * skipped, since those jobs are over.
     */
    fun load(items: List<StoredItem>) {
        for (item in items.sortedByDescending { it.version }) {
            val page = pages.getOrCreate(item.path) ?: continue
            loadPage(item, page)
        }
    }

    private fun loadPage(item: StoredItem, page: ProgressPage) {
        page.version = item.version
        page.isStoredDense = DensePages.isDense(item.value)
        val chunks = chunksOf(item)
        val mustBeReplaced = hasOtherBoundaries(chunks) || isOverfull(page, chunks) ||
            BodyCodec.jsonSize(item.value) > shardState.limits.allowed.valueBytes
        for (chunk in chunks) loadChunk(chunk, page, mustBeReplaced)
    }

    private fun chunksOf(item: StoredItem): List<StoredChunk> = try {
        PageFormat.chunksOf(item.value) { onUnreadable(item.path, it) }.filter { isOfUnfinishedJob(it, item.path) }
    } catch (e: MalformedException) {
        onUnreadable(item.path, e)
        emptyList()
    }

    /**
     * Whether the chunk belongs to an unfinished job. A chunk of a job that is over need not be cleared from its page:
     * the page's next write leaves it out.
     */
    private fun isOfUnfinishedJob(stored: StoredChunk, path: String): Boolean {
        val job = shardState.jobs[stored.jobId] ?: return false
        if (stored.first in 0 until job.spec.taskCount) return true
        onUnreadable(path, MalformedException("first is out of the range of the job's tasks"))
        return false
    }

    private fun hasOtherBoundaries(chunks: List<StoredChunk>): Boolean = chunks.any { stored ->
        val chunk = jobOf(stored).chunkOf(stored.first)
        chunk.page != null || chunk.first != stored.first || chunk.size != tasksOf(stored).count()
    }

    /** Whether a dense page that is to be written in the plain format holds more than a plain page can. */
    private fun isOverfull(page: ProgressPage, chunks: List<StoredChunk>): Boolean {
        if (!page.isStoredDense || pages.writesDense()) return false
        return chunks.sumOf { PageFormat.PLAIN_SIZED.maxBytesFor(jobOf(it).chunkOf(it.first)) } > pages.capacityBytes
    }

    private fun jobOf(stored: StoredChunk): Job = shardState.jobs.getValue(stored.jobId)

    /** The tasks that the chunk covers. */
    private fun tasksOf(stored: StoredChunk): IntRange {
        val taskCount = jobOf(stored).spec.taskCount
        val size = stored.size ?: chunkSizes[stored.jobId] ?: taskCount
        return stored.first until minOf(taskCount, stored.first + size)
    }

    private fun loadChunk(stored: StoredChunk, page: ProgressPage, mustBeReplaced: Boolean) {
        val job = jobOf(stored)
        val tasks = tasksOf(stored)
        if (mustBeReplaced) {
            val chunks = tasks.mapTo(LinkedHashSet()) { job.chunkOf(it) }
            chunks.forEach { supersededPageCleaner.supersede(page, it) }
        } else {
            page.add(job.chunkOf(stored.first))
        }
        restoreResults(job, stored)
        restorePlacements(job, stored, tasks)
        shardState.changedJobs.add(job)
    }

    /** A task is done if any copy says so. */
    private fun restoreResults(job: Job, stored: StoredChunk) {
        val doneTasks = stored.done.stream().map { stored.first + it }
        doneTasks.forEach { if (it < job.spec.taskCount) job.markDone(it) }
    }

    /** For placements, only the newest copy of a task counts. */
    private fun restorePlacements(job: Job, stored: StoredChunk, tasks: IntRange) {
        val alreadyRead = tasksRead.getOrPut(job) { BitSet() }
        for (placement in stored.placements) {
            if (placement.task in 0 until job.spec.taskCount && !alreadyRead.get(placement.task)) place(job, placement)
        }
        alreadyRead.set(tasks.first, tasks.last + 1)
    }

    /**
     * Handles a malformed record or chunk: tasks may be running that are not known here. No task is placed until the
     * workers of such tasks have been commanded to stop them, or have lost their leases.
     */
    private fun onUnreadable(path: String, e: MalformedException) {
        log.error(
            "shard {}: record {} is malformed, delaying all placements: {}",
            shardState.index.value,
            path,
            e.message,
        )
        val waitMs = shardState.settings.workers.leaseS * LEASES_UNTIL_UNKNOWN_WORK_IS_GONE * MS_PER_S
        shardState.schedulingPassNotBefore = shardState.clock.now() + waitMs.toLong()
    }

    private companion object {
        const val LEASES_UNTIL_UNKNOWN_WORK_IS_GONE = 2.0
        const val MS_PER_S = 1000
    }
}

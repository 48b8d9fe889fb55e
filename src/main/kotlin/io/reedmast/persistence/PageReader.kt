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
 * A page whose division is not today's is read, and its content goes to other pages: see [SupersededPages]. Until it
 * has been cleared, two pages cover the same tasks, and the newer one is right.
 *
 * @param chunkSizes the sizes of chunks by the jobs' records, by job id
 * @param place restores each placement
 */
internal class PageReader(
    private val shardState: ShardState,
    private val pages: ProgressPages,
    private val supersededPages: SupersededPages,
    private val chunkSizes: Map<String, Int>,
    private val place: (Job, StoredPlacement) -> Unit,
) {
    private val log = LoggerFactory.getLogger("shard")

    /** The tasks for which a newer copy has been read, by job. */
    private val tasksRead = HashMap<Job, BitSet>()

    /** Restores what [items] hold, the newest first. Jobs that are not in the shard's state are over. */
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

    /** A job that is over needs no clearing from its page: the next write leaves it out. */
    private fun isOfUnfinishedJob(stored: StoredChunk, path: String): Boolean {
        val job = shardState.jobs[stored.jobId] ?: return false
        if (stored.first in 0 until job.spec.taskCount) return true
        onUnreadable(path, MalformedException("first is out of range"))
        return false
    }

    private fun hasOtherBoundaries(chunks: List<StoredChunk>): Boolean = chunks.any { stored ->
        val chunk = jobOf(stored).chunkOf(stored.first)
        chunk.page != null || chunk.first != stored.first || chunk.size != tasksOf(stored).count()
    }

    /** Whether a dense page that is to be stored plainly holds more than that form can. */
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
            chunks.forEach { supersededPages.supersede(page, it) }
        } else {
            page.add(job.chunkOf(stored.first))
        }
        restoreResults(job, stored)
        restorePlacements(job, stored, tasks)
        shardState.changed.add(job)
    }

    /** What is done stays done, whichever copy says so. */
    private fun restoreResults(job: Job, stored: StoredChunk) {
        val doneTasks = stored.done.stream().map { stored.first + it }
        doneTasks.forEach { if (it < job.spec.taskCount) job.markDone(it) }
    }

    /** Of placements, the newest copy of a task is right. */
    private fun restorePlacements(job: Job, stored: StoredChunk, tasks: IntRange) {
        val tasksInNewerPages = tasksRead.getOrPut(job) { BitSet() }
        for (placement in stored.placements) {
            if (placement.task in 0 until job.spec.taskCount &&
                !tasksInNewerPages.get(placement.task)
            ) {
                place(job, placement)
            }
        }
        tasksInNewerPages.set(tasks.first, tasks.last + 1)
    }

    /**
     * Something stored cannot be read, so tasks may run that nobody knows of. Nothing is placed before their workers
     * have been told to stop them, or have lost their leases.
     */
    private fun onUnreadable(path: String, e: MalformedException) {
        log.error("shard {}: record {} cannot be read: {}", shardState.index.value, path, e.message)
        val waitMs = shardState.settings.workers.leaseS * LEASES_UNTIL_UNKNOWN_WORK_IS_GONE * MS_PER_S
        shardState.passNotBefore = shardState.clock.now() + waitMs.toLong()
    }

    private companion object {
        const val LEASES_UNTIL_UNKNOWN_WORK_IS_GONE = 2.0
        const val MS_PER_S = 1000
    }
}

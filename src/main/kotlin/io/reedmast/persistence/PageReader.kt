package io.reedmast.persistence

import io.reedmast.kvstore.StoredItem
import io.reedmast.model.Job
import io.reedmast.model.ShardState
import io.reedmast.wire.MalformedException
import io.reedmast.wire.Tree
import org.slf4j.LoggerFactory
import java.util.BitSet

/**
 * Takes up a shard's stored pages.
 *
 * A page whose division is not today's is read, and its content goes to other pages: see [SupersededPages]. Until it
 * has been cleared, two pages speak for the same tasks, and the newer one is right.
 *
 * @param chunkSizes the sizes of chunks by the jobs' records
 * @param place takes up each placement
 */
class PageReader(
    private val shardState: ShardState,
    private val pages: MutableList<ProgressPage>,
    private val supersededPages: SupersededPages,
    private val pageBytes: Int,
    private val chunkSizes: Map<String, Int>,
    private val place: (Job, StoredPlacement) -> Unit,
) {
    private val log = LoggerFactory.getLogger("shard")

    /** The tasks for which a newer copy has been read, by job. */
    private val known = HashMap<Job, BitSet>()

    fun load(items: List<StoredItem>) {
        for (item in items.sortedByDescending { it.version }) {
            val index = item.path.substringAfterLast('/').toIntOrNull() ?: continue
            while (pages.size <= index) pages.add(ProgressPage(pages.size))
            load(item, pages[index])
        }
    }

    private fun load(item: StoredItem, page: ProgressPage) {
        page.version = item.version
        page.storedDense = DensePages.isDense(item.value)
        val chunks = chunksOf(item)
        val divided =
            isDividedOtherwise(chunks) || isOverfull(page, chunks) ||
                Tree.jsonSize(item.value) > shardState.limits.allowed.valueBytes
        for (chunk in chunks) load(chunk, page, divided)
    }

    private fun chunksOf(item: StoredItem): List<StoredChunk> = try {
        PageForm.chunksOf(item.value) { recordUnreadable(item.path, it) }.filter { isOfUnfinishedJob(it, item.path) }
    } catch (e: MalformedException) {
        recordUnreadable(item.path, e)
        emptyList()
    }

    /** A job that is over needs no clearing from its page: the next writing leaves it out. */
    private fun isOfUnfinishedJob(stored: StoredChunk, path: String): Boolean {
        val job = shardState.jobs[stored.jobId] ?: return false
        if (stored.first in 0 until job.spec.taskCount) return true
        recordUnreadable(path, MalformedException("first is out of range"))
        return false
    }

    private fun isDividedOtherwise(chunks: List<StoredChunk>): Boolean = chunks.any { stored ->
        val chunk = shardState.jobs.getValue(stored.jobId).chunkOf(stored.first)
        chunk.page != null || chunk.first != stored.first || chunk.size != tasksOf(stored).count()
    }

    /** Whether a dense page that is to be stored plainly holds more than that form can. */
    private fun isOverfull(page: ProgressPage, chunks: List<StoredChunk>): Boolean {
        if (!page.storedDense || shardState.gates().writes(DensePages.FEATURE)) return false
        return chunks.sumOf { PageForm.SIZED.reserveFor(shardState.jobs.getValue(it.jobId).chunkOf(it.first)) } >
            pageBytes
    }

    /** The tasks that the chunk speaks for. */
    private fun tasksOf(stored: StoredChunk): IntRange {
        val taskCount = shardState.jobs.getValue(stored.jobId).spec.taskCount
        val size = stored.size ?: chunkSizes[stored.jobId] ?: taskCount
        return stored.first until minOf(taskCount, stored.first + size)
    }

    private fun load(stored: StoredChunk, page: ProgressPage, divided: Boolean) {
        val job = shardState.jobs.getValue(stored.jobId)
        val tasks = tasksOf(stored)
        if (divided) {
            tasks.mapTo(LinkedHashSet()) {
                job.chunkOf(it)
            }.forEach { supersededPages.supersede(page, it) }
        } else {
            page.add(job.chunkOf(stored.first))
        }
        // What is done stays done, whichever copy says so.
        stored.done.stream().forEach { if (stored.first + it < job.spec.taskCount) job.markDone(stored.first + it) }
        val newer = known.getOrPut(job) { BitSet() }
        stored.placements.forEach { if (it.task in 0 until job.spec.taskCount && !newer.get(it.task)) place(job, it) }
        newer.set(tasks.first, tasks.last + 1)
        shardState.changed.add(job)
    }

    /**
     * Something stored cannot be read, so tasks may run that nobody knows of. Nothing is placed before their workers
     * have been told to stop them, or have lost their leases.
     */
    private fun recordUnreadable(path: String, e: MalformedException) {
        log.error("shard {}: record {} cannot be read: {}", shardState.index.value, path, e.message)
        shardState.passNotBefore =
            shardState.clock.now() +
            (shardState.settings.workers.leaseS * LEASES_UNTIL_UNKNOWN_WORK_IS_GONE * 1000).toLong()
    }

    private companion object {
        const val LEASES_UNTIL_UNKNOWN_WORK_IS_GONE = 2.0
    }
}

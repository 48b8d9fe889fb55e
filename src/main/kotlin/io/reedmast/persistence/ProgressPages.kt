package io.reedmast.persistence

import io.reedmast.kvstore.Keys
import io.reedmast.model.Chunk
import io.reedmast.model.PendingWrite
import io.reedmast.model.ShardState
import io.reedmast.rollout.GateSnapshot

/** The pages of one shard, and the assignment of chunks to them. */
internal class ProgressPages(private val shardState: ShardState) {
    private val pages = ArrayList<ProgressPage>()

    /** All pages, ordered by index. */
    val all: List<ProgressPage> get() = pages

    /**
     * The number of bytes up to which a page is filled. It is below the limit because the store counts more than the
     * chunks, e.g. the ID of the transaction.
     */
    val capacityBytes = shardState.limits.target.valueBytes * FILL_PERCENT / PERCENT

    /**
     * Whether the reduced limits were known to hold when this object was created, before the pages were read, so that
     * the pages were split accordingly.
     */
    private val wereLimitsReducedBeforeLoad = shardState.limits.isReduced

    /**
     * Whether the pages have to be read again because some of their content no longer fits: the limits were reduced
     * after the pages had been read, or an overfull dense page has to be written in the plain format.
     */
    val needsReload: Boolean get() = exceedsReducedLimits || pages.any { isOverfull(it) }

    private val exceedsReducedLimits: Boolean
        get() = !wereLimitsReducedBeforeLoad && shardState.limits.isReduced &&
            pages.any { it.reservedIn(PageFormat.PLAIN_SIZED) > capacityBytes || hasTooLargeChunk(it) }

    private fun hasTooLargeChunk(page: ProgressPage): Boolean {
        val maxChunkSize = PageFormat.chunkSizeFor(shardState.limits.target.valueBytes)
        return page.chunks.any { it.size > maxChunkSize }
    }

    /**
     * Whether the page is stored in the dense format, has to be written in the plain format, and holds more than that
     * allows: its content has to be distributed over several pages.
     */
    fun isOverfull(page: ProgressPage): Boolean =
        page.isStoredDense && page.reservedIn(PageFormat.PLAIN_SIZED) > capacityBytes && !writesDense()

    /** The format in which pages are written while the gates are as in [gates]. */
    fun formatToWrite(gates: GateSnapshot): PageFormat = PageFormat.forWriting(gates, shardState.limits.isReduced)

    /** Whether the rollout currently requires pages to be written in the dense format. */
    fun writesDense(): Boolean = shardState.gates().writesNewFormat(DensePages.FEATURE)

    /** The key of the page in the store. */
    fun pathOf(page: ProgressPage): String = Keys.page(shardState.index.value, page.index)

    /** The page with the key [path], created if necessary; null if it is not the key of a page. */
    fun getOrCreate(path: String): ProgressPage? {
        val index = indexOf(path) ?: return null
        while (pages.size <= index) create()
        return pages[index]
    }

    /** The page with the key [path]; null if there is none. */
    fun find(path: String): ProgressPage? = indexOf(path)?.let { pages.getOrNull(it) }

    private fun indexOf(path: String): Int? = path.substringAfterLast('/').toIntOrNull()

    private fun create() = ProgressPage(pages.size).also { pages.add(it) }

    /**
     * Assigns a page to a chunk that has none. Pages that are about to be written anyway are preferred, so that
     * decisions made at about the same time share one put.
     */
    fun assignPage(chunk: Chunk): ProgressPage {
        val format = formatToWrite(shardState.gates())
        val pagesWithRoom = pages.filter { !it.isWriteInFlight && it.hasRoom(chunk, capacityBytes, format) }
        val page = pagesWithRoom.firstOrNull { it.pendingWrite != PendingWrite.RESULTS }
            ?: pagesWithRoom.firstOrNull { it.dirtySince != 0L }
            ?: pagesWithRoom.firstOrNull()
            ?: create()
        page.add(chunk)
        return page
    }

    private companion object {
        const val FILL_PERCENT = 95
        const val PERCENT = 100
    }
}

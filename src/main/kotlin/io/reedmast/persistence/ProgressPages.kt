package io.reedmast.persistence

import io.reedmast.kvstore.Keys
import io.reedmast.model.Chunk
import io.reedmast.model.PendingWrite
import io.reedmast.model.ShardState
import io.reedmast.rollout.GateSnapshot

/** The pages of one shard, and which of them a chunk is assigned to. */
internal class ProgressPages(private val shardState: ShardState) {
    private val pages = ArrayList<ProgressPage>()

    /** All pages, by their index. */
    val all: List<ProgressPage> get() = pages

    /** How many bytes a page is filled to: the store counts more than its chunks, e.g. the id of its transaction. */
    val capacityBytes = shardState.limits.target.valueBytes * FILL_PERCENT / PERCENT

    /**
     * Whether the pages were read when the reduced limits were known to hold, so that they were divided accordingly.
     */
    private val wereLimitsReducedBeforeLoad = shardState.limits.isReduced

    /**
     * Whether the pages are to be read again, since the limits were lowered after they were, and some of their content
     * is too large for them.
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
     * Whether the page holds more than its plain form can, in which it is to be stored again: its content has to go to
     * several pages.
     */
    fun isOverfull(page: ProgressPage): Boolean =
        page.isStoredDense && page.reservedIn(PageFormat.PLAIN_SIZED) > capacityBytes && !writesDense()

    /** The form in which pages are written while the gates stand like this. */
    fun formatToWrite(gates: GateSnapshot): PageFormat = PageFormat.forWriting(gates, shardState.limits.isReduced)

    /** Whether the rollout has pages written in the dense form now. */
    fun writesDense(): Boolean = shardState.gates().writes(DensePages.FEATURE)

    /** The key of the page. */
    fun pathOf(page: ProgressPage): String = Keys.page(shardState.index.value, page.index)

    /** The page with this key, created if need be; null if the key is none of a page. */
    fun getOrCreate(path: String): ProgressPage? {
        val index = indexOf(path) ?: return null
        while (pages.size <= index) create()
        return pages[index]
    }

    /** The page with this key; null if there is none. */
    fun find(path: String): ProgressPage? = indexOf(path)?.let { pages.getOrNull(it) }

    private fun indexOf(path: String): Int? = path.substringAfterLast('/').toIntOrNull()

    private fun create() = ProgressPage(pages.size).also { pages.add(it) }

    /**
     * Assigns a page to a chunk that has none. Pages that are about to be written anyway come first, so that decisions
     * of a moment share a put.
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

package io.reedmast.persistence

import io.reedmast.model.Chunk
import io.reedmast.model.ChunkPage
import io.reedmast.model.PendingWrite
import io.reedmast.model.Placement
import io.reedmast.wire.Fields
import java.util.EnumMap

/**
 * One stored value with the progress of several jobs of a shard.
 *
 * Progress is what the next owner of a shard has to know about the tasks of its jobs: which have completed (results),
 * and which are placed on which machines (placements). It is stored in two units. A *chunk* is the progress of
 * consecutive tasks of one job. A *page* is one value of the store, under the key `page/SHARD/INDEX`, with chunks of
 * several jobs. The store's limit counts each put, whatever its size: with one record per job, several puts a second
 * were needed where one put of a page is enough.
 *
 * A chunk is assigned to a page at its first change and stays there; space for all its tasks is reserved at that time.
 * The content of a job that is over is ignored when a page is read, and left out of the page's next write.
 *
 * @property index the number of the page in its shard
 */
internal class ProgressPage(val index: Int) : ChunkPage {
    /** The version of the stored value, 0 if there is none. */
    var version = 0L
    override var isWriteInFlight = false

    /** The chunks that are written to the page. */
    val chunks = LinkedHashSet<Chunk>()
    private val reservedBytes = EnumMap<PageFormat, Int>(PageFormat::class.java)

    /** Whether the stored value has the dense format. */
    var isStoredDense = false

    /**
     * The time, in milliseconds of the shard's clock, since which the page has had content that was not submitted to
     * the store; 0 if it has none.
     */
    var dirtySince = 0L

    /**
     * Chunks of which the stored value holds an older copy, because the value is to be split differently: it is
     * cleared once all of them are stored in other pages.
     */
    val supersedingChunks = LinkedHashSet<Chunk>()

    /**
     * The page is not written again before this time: the store refused it, or the rollout's gates have to be read
     * first.
     */
    var retryNotBefore = 0L

    /**
     * Whether the last write of the page's chunks was one that placements wait for. The value remains after that write,
     * so it describes a write in flight only while [isWriteInFlight] is true.
     */
    var isLastWriteForPlacements = false

    /** The most urgent content of the page that waits to be stored. */
    var pendingWrite = PendingWrite.RESULTS

    override fun markDirty(now: Long) {
        if (dirtySince == 0L) dirtySince = now
    }

    override fun requestWrite(now: Long, pendingWrite: PendingWrite) {
        markDirty(now)
        this.pendingWrite = maxOf(this.pendingWrite, pendingWrite)
    }

    /** Records that the store holds the page in [format], as version [revision]. */
    fun recordStored(revision: Long, format: PageFormat) {
        version = revision
        isStoredDense = format == PageFormat.DENSE
    }

    /** The number of bytes reserved for the page's chunks in [format]. */
    fun reservedIn(format: PageFormat): Int = reservedBytes[format] ?: 0

    /** Whether [chunk] may be added while the page is to stay within [capacityBytes] in [format]. */
    fun hasRoom(chunk: Chunk, capacityBytes: Int, format: PageFormat) =
        supersedingChunks.isEmpty() && reservedIn(format) + format.maxBytesFor(chunk) <= capacityBytes

    /** Assigns [chunk] to this page and reserves space for all its tasks. */
    fun add(chunk: Chunk) {
        chunk.page = this
        if (!chunks.add(chunk)) return
        for (format in PageFormat.entries) reservedBytes[format] = reservedIn(format) + format.maxBytesFor(chunk)
    }

    override fun remove(chunk: Chunk) {
        if (!chunks.remove(chunk)) return
        for (format in PageFormat.entries) reservedBytes[format] = reservedIn(format) - format.maxBytesFor(chunk)
    }

    /**
     * Encodes the page in [format], without the [excluded] placements. A chunk that supersedes an older copy is stored
     * even if it is empty; otherwise the older copy would still count.
     */
    fun toFields(excluded: Set<Placement>, format: PageFormat): Fields =
        format.toFields(chunks.filter { hasContent(it) }.map { toStored(it, excluded, format) })

    private fun hasContent(chunk: Chunk) =
        chunk.placements.isNotEmpty() || !chunk.done.isEmpty || chunk.supersededCopies > 0

    private fun toStored(chunk: Chunk, excluded: Set<Placement>, format: PageFormat) = StoredChunk(
        chunk.job.spec.jobId,
        chunk.first,
        chunk.size.takeIf { format != PageFormat.PLAIN_UNSIZED },
        chunk.done,
        chunk.placements.values
            .filter { it !in excluded }
            .map { StoredPlacement(it.task, it.attempt, it.machine.name) },
    )
}

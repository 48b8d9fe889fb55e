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
 * Progress is what a shard's next owner has to know of its jobs' tasks: which have completed (results) and which are
 * placed where (placements). It is stored in two units. A *chunk* is the progress of consecutive tasks of one job; a
 * *page* is one value of the store, under the key `page/SHARD/INDEX`, with chunks of several jobs. Each put counts
 * against the store's limit, whatever its size: a record for each job cost several puts a second where one does.
 *
 * A chunk is assigned to a page with its first change and stays in it; room for all its tasks is set aside then. What a
 * page still holds of a job that is over is ignored, and left out of its next write.
 *
 * @property index the number of the page in its shard
 */
internal class ProgressPage(val index: Int) : ChunkPage {
    /** The version of the stored value, 0 if there is none. */
    var version = 0L
    override var isWriteInFlight = false

    /** What is written to the page. */
    val chunks = LinkedHashSet<Chunk>()
    private val reservedBytes = EnumMap<PageFormat, Int>(PageFormat::class.java)

    /** Whether the store holds it in the dense form. */
    var isStoredDense = false

    /** Since when something in it is not stored, in milliseconds of the shard's clock; 0 if all is. */
    var dirtySince = 0L

    /**
     * What is stored under its key in another division than today's: it is cleared once all of this is in other pages.
     */
    val supersededChunks = LinkedHashSet<Chunk>()

    /** The store has refused it, or the rollout's gates have to be read first: until then it is not tried again. */
    var retryNotBefore = 0L

    /**
     * Whether the last write of its chunks stored something that is waited for. It remains after that write, so it says
     * something of a write in flight only while [writing] holds.
     */
    var isLastWriteForPlacements = false

    /** The most pressing of what waits for the page to be stored. */
    var pendingWrite = PendingWrite.RESULTS

    override fun markDirty(now: Long) {
        if (dirtySince == 0L) dirtySince = now
    }

    override fun requestWrite(now: Long, pendingWrite: PendingWrite) {
        markDirty(now)
        this.pendingWrite = maxOf(this.pendingWrite, pendingWrite)
    }

    /** The store holds the page in [form], as version [revision]. */
    fun recordStored(revision: Long, format: PageFormat) {
        version = revision
        isStoredDense = format == PageFormat.DENSE
    }

    /** The bytes that its chunks may come to take in [form]. */
    fun reservedIn(format: PageFormat): Int = reservedBytes[format] ?: 0

    /** Whether [chunk] may be added to a page that is to stay within [capacityBytes] in [form]. */
    fun hasRoom(chunk: Chunk, capacityBytes: Int, format: PageFormat) =
        supersededChunks.isEmpty() && reservedIn(format) + format.maxBytesFor(chunk) <= capacityBytes

    /** Assigns [chunk] to this page and sets aside room for all its tasks. */
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
     * Its value in [form], without the [excluded] placements. A chunk that supersedes an older copy is stored even if
     * it is empty, or the older copy would seem to hold.
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
        chunk.placements.values.filter {
            it !in excluded
        }.map { StoredPlacement(it.task, it.attempt, it.machine.name) },
    )
}

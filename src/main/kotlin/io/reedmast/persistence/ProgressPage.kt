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
 * Each put counts against the store's limit, whatever its size: a record for each job cost several puts a second
 * where one does. A chunk stays in its page; room for all its tasks is set aside when it comes.
 */
class ProgressPage(val index: Int) : ChunkPage {
    var version = 0L
    override var writing = false
    val chunks = LinkedHashSet<Chunk>()
    private val reserved = EnumMap<PageForm, Int>(PageForm::class.java)

    /** Whether the store holds it in the dense form. */
    var storedDense = false

    /** Since when something in it is not stored, 0 if all is. */
    var dirtySince = 0L

    /**
     * What is stored under its key in another division than today's: it is cleared once all of this is in other pages.
     */
    val superseded = LinkedHashSet<Chunk>()

    /** The store has refused it: until then it is not tried again. */
    var refusedUntil = 0L

    /** Whether the put that is on its way holds something that is waited for. */
    var waitedFor = false

    /** What waits for it to be stored. */
    var pending = PendingWrite.RESULTS

    override fun markDirty(now: Long) {
        if (dirtySince == 0L) dirtySince = now
    }

    override fun requestWrite(now: Long, pendingWrite: PendingWrite) {
        markDirty(now)
        pending = maxOf(pending, pendingWrite)
    }

    /** The room that its chunks may come to take in [form]. */
    fun reservedIn(form: PageForm): Int = reserved[form] ?: 0

    fun hasRoom(chunk: Chunk, bytes: Int, form: PageForm) =
        superseded.isEmpty() && reservedIn(form) + form.reserveFor(chunk) <= bytes

    fun add(chunk: Chunk) {
        chunk.page = this
        if (chunks.add(chunk)) PageForm.entries.forEach { reserved[it] = reservedIn(it) + it.reserveFor(chunk) }
    }

    override fun remove(chunk: Chunk) {
        if (chunks.remove(chunk)) PageForm.entries.forEach { reserved[it] = reservedIn(it) - it.reserveFor(chunk) }
    }

    /**
     * Its value in [form], without the placements [left]. A chunk that supersedes an older copy is stored even if it is
     * empty, or the older one would seem to hold.
     */
    fun toFields(left: Set<Placement>, form: PageForm): Fields = form.toFields(
        chunks.filter {
            it.placements.isNotEmpty() || !it.done.isEmpty || it.olderCopies > 0
        }.map { storedOf(it, left, form) },
    )

    private fun storedOf(chunk: Chunk, left: Set<Placement>, form: PageForm) = StoredChunk(
        chunk.job.spec.jobId,
        chunk.first,
        chunk.size.takeIf { form != PageForm.UNSIZED },
        chunk.done,
        chunk.placements.values.filter { it !in left }.map { StoredPlacement(it.task, it.attempt, it.machine.name) },
    )
}

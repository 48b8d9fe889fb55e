package io.reedmast.jobs

import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import io.reedmast.wire.count
import io.reedmast.wire.list
import io.reedmast.wire.maps
import io.reedmast.wire.text
import java.util.BitSet
import java.util.HexFormat

/**
 * One stored value with the progress of several jobs of a slice.
 *
 * Each put counts against the state service's limit, whatever its size: a record for each job cost several puts a second
 * where one does. A chunk stays in its page; room for all its tasks is set aside when it comes.
 */
class ProgressPage(val index: Int) {
    /** What waits for a page to be stored, the most pressing last. */
    enum class Waiting {
        /** Results only: stored late, they save repeated work. */
        NOTHING,

        /** Placements of arrays, which are launched once they are stored. */
        ARRAYS,

        /** Placements of services and of other work that is to start soon. */
        SOON,
    }

    var version = 0L
    var writing = false
    val chunks = LinkedHashSet<Chunk>()
    var reserved = 0
        private set

    /** Since when something in it is not stored, 0 if all is. */
    var dirtySince = 0L

    /** What is stored under its key in another division than today's: it is cleared once all of this is in other pages. */
    val superseded = LinkedHashSet<Chunk>()

    /** The state service has refused it: until then it is not tried again. */
    var refusedUntil = 0L

    /** Whether the put that is on its way holds something that is waited for. */
    var waitedFor = false

    /** What waits for it to be stored. */
    var waiting = Waiting.NOTHING

    fun hasRoom(chunk: Chunk, bytes: Int) = superseded.isEmpty() && reserved + reserve(chunk) <= bytes

    fun add(chunk: Chunk) {
        chunk.page = this
        if (chunks.add(chunk)) reserved += reserve(chunk)
    }

    fun remove(chunk: Chunk) {
        if (chunks.remove(chunk)) reserved -= reserve(chunk)
    }

    /**
     * [sized]: every controller reads chunks that say how many tasks they speak for. One that supersedes an older copy is stored
     * even if it is empty, or the older one would seem to hold.
     */
    fun toFields(left: Set<Placement>, sized: Boolean): Fields = mapOf(
        "chunks" to chunks.filter { it.placements.isNotEmpty() || !it.done.isEmpty || it.olderCopies > 0 }.map { fieldsOf(it, left, sized) },
    )

    private fun fieldsOf(chunk: Chunk, left: Set<Placement>, sized: Boolean): Fields {
        val fields = mapOf(
            "job" to chunk.job.spec.jobId,
            "first" to chunk.first,
            "done" to HexFormat.of().formatHex(chunk.done.toByteArray()),
            "on" to chunk.placements.values.filter { it !in left }.flatMap { listOf(it.task, it.attempt, it.machine.name) },
        )
        return if (sized) fields + (SIZE to chunk.size) else fields
    }

    /** One placement as it is stored. */
    class Stored(val task: Int, val attempt: Long, val host: String)

    /** One chunk as it is stored. */
    class StoredChunk(
        val jobId: String,
        val first: Int,
        /** How many tasks it speaks for; null in records of a version that knew only the size in the job's record. */
        val size: Int?,
        val done: BitSet,
        val on: List<Stored>,
    ) {
        companion object {
            fun parse(fields: Fields): StoredChunk {
                val flat = fields.list("on")
                if (flat.size % 3 != 0) throw MalformedException("on is cut short")
                val on =
                    flat.chunked(3).map { (task, attempt, host) ->
                        Stored(
                            (task as? Long)?.toInt() ?: throw MalformedException("task is no integer"),
                            attempt as? Long ?: throw MalformedException("attempt is no integer"),
                            host as? String ?: throw MalformedException("host is no text"),
                        )
                    }
                val done =
                    try {
                        BitSet.valueOf(HexFormat.of().parseHex(fields.text("done")))
                    } catch (e: IllegalArgumentException) {
                        throw MalformedException("done is no bit set: ${e.message}")
                    }
                val size = if (fields[SIZE] == null) null else fields.count(SIZE).toInt()
                return StoredChunk(fields.text("job"), fields.count("first").toInt(), size, done, on)
            }
        }
    }

    companion object {
        /** Whether a version that divides pages for lowered limits has stored it. */
        fun isSized(fields: Fields): Boolean = fields.maps("chunks").any { it[SIZE] != null }

        private const val SIZE = "size"

        /** The value of a page that holds nothing. */
        val EMPTY: Fields = mapOf("chunks" to emptyList<Fields>())

        /** The most that one placement takes: task, attempt and host name, with their commas. */
        private const val BYTES_PER_PLACEMENT = 48
        private const val BYTES_PER_CHUNK = 64

        private fun reserve(chunk: Chunk) = BYTES_PER_CHUNK + chunk.job.spec.jobId.length + chunk.size * BYTES_PER_PLACEMENT + chunk.size / 4 + 1

        /** Tasks that a chunk has at most, so that two of them fit one value. */
        fun chunkSizeFor(valueBytes: Int): Int = maxOf(1, (valueBytes / 2 - 3 * BYTES_PER_CHUNK) / (BYTES_PER_PLACEMENT + 1))
    }
}

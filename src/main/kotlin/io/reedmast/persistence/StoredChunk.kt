package io.reedmast.persistence

import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import io.reedmast.wire.count
import io.reedmast.wire.list
import io.reedmast.wire.text
import java.util.BitSet
import java.util.HexFormat

/**
 * One chunk as a page holds it: the results and placements of consecutive tasks of a job.
 *
 * @property first the number of the chunk's first task
 * @property size how many tasks it covers; null in records of a version that knew only the size in the job's record
 * @property done the tasks that have completed, counted from [first]
 */
data class StoredChunk(
    val jobId: String,
    val first: Int,
    val size: Int?,
    val done: BitSet,
    val placements: List<StoredPlacement>,
) {
    /** The chunk as a plain page holds it. */
    fun toFields(): Fields {
        val fields = mapOf(
            JOB to jobId,
            FIRST to first,
            DONE to encodeDone(done),
            PLACEMENTS to placements.flatMap { listOf(it.task, it.attempt, it.machineName) },
        )
        return if (size == null) fields else fields + (SIZE to size)
    }

    companion object {
        private const val JOB = "job"
        private const val FIRST = "first"
        private const val SIZE = "size"
        private const val DONE = "done"
        private const val PLACEMENTS = "on"

        /** A stored placement takes three values of a flat list: task, attempt and machine. */
        internal const val VALUES_PER_PLACEMENT = 3

        /** Reads a chunk of a plain page. Throws [MalformedException] if it has not the form of one. */
        fun parse(fields: Fields): StoredChunk {
            val placements = fields.list(PLACEMENTS)
            if (placements.size % VALUES_PER_PLACEMENT != 0) throw MalformedException("on is cut short")
            val size = if (hasSize(fields)) fields.count(SIZE).toInt() else null
            return StoredChunk(
                fields.text(JOB),
                fields.count(FIRST).toInt(),
                size,
                decodeDone(fields.text(DONE)),
                placements.chunked(VALUES_PER_PLACEMENT) { parsePlacement(it) },
            )
        }

        /** Whether a chunk of a plain page says how many tasks it covers. */
        internal fun hasSize(fields: Fields): Boolean = fields[SIZE] != null

        internal fun encodeDone(done: BitSet): String = HexFormat.of().formatHex(done.toByteArray())

        internal fun decodeDone(hex: String): BitSet = try {
            BitSet.valueOf(HexFormat.of().parseHex(hex))
        } catch (e: IllegalArgumentException) {
            throw MalformedException("done is no bit set: ${e.message}").apply { initCause(e) }
        }

        private fun parsePlacement(values: List<Any?>): StoredPlacement {
            val (task, attempt, machineName) = values
            return StoredPlacement(
                (task as? Long).orMalformed("task is no integer").toInt(),
                (attempt as? Long).orMalformed("attempt is no integer"),
                (machineName as? String).orMalformed("host is no text"),
            )
        }
    }
}

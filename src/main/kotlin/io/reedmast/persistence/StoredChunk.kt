package io.reedmast.persistence

import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import io.reedmast.wire.count
import io.reedmast.wire.list
import io.reedmast.wire.text
import java.util.BitSet
import java.util.HexFormat

/**
 * A chunk as stored in a page: the results and placements of consecutive tasks of a job.
 *
 * @property first the number of the chunk's first task
 * @property size the number of tasks in the chunk; null in records of a version that had the size only in the job's
 * record
 * @property done the completed tasks, counted from [first]
 */
data class StoredChunk(
    val jobId: String,
    val first: Int,
    val size: Int?,
    val done: BitSet,
    val placements: List<StoredPlacement>,
) {
    /** Encodes the chunk for a plain page. */
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

        /** A placement is stored as three values of a flat list: task, attempt and machine. */
        internal const val VALUES_PER_PLACEMENT = 3

        /** Decodes a chunk of a plain page. Throws [MalformedException] if it is malformed. */
        fun parse(fields: Fields): StoredChunk {
            val placements = fields.list(PLACEMENTS)
            if (placements.size % VALUES_PER_PLACEMENT != 0) throw MalformedException("last placement is incomplete")
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
            throw MalformedException("done is not a hexadecimal bit set: ${e.message}").apply { initCause(e) }
        }

        private fun parsePlacement(values: List<Any?>): StoredPlacement {
            val (task, attempt, machineName) = values
            return StoredPlacement(
                (task as? Long).orMalformed("task of a placement is not an integer").toInt(),
                (attempt as? Long).orMalformed("attempt of a placement is not an integer"),
                (machineName as? String).orMalformed("machine name of a placement is not a string"),
            )
        }
    }
}

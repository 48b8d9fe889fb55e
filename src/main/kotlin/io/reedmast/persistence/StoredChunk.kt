package io.reedmast.persistence

import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import io.reedmast.wire.count
import io.reedmast.wire.list
import io.reedmast.wire.text
import java.util.BitSet
import java.util.HexFormat

/** One placement as it is stored. */
data class StoredPlacement(val task: Int, val attempt: Long, val machineName: String)

/**
 * One chunk as it is stored: the results and placements of some tasks of a job.
 *
 * @property size how many tasks it speaks for; null in records of a version that knew only the size in the job's record
 */
data class StoredChunk(
    val jobId: String,
    val first: Int,
    val size: Int?,
    val done: BitSet,
    val placements: List<StoredPlacement>,
) {
    /** The plain form. */
    fun toFields(): Fields {
        val fields = mapOf(
            "job" to jobId,
            "first" to first,
            "done" to hex(done),
            "on" to placements.flatMap { listOf(it.task, it.attempt, it.machineName) },
        )
        return if (size == null) fields else fields + (SIZE to size)
    }

    companion object {
        private const val SIZE = "size"

        /** Task, attempt and machine. */
        const val PARTS_OF_A_PLACEMENT = 3

        fun hex(done: BitSet): String = HexFormat.of().formatHex(done.toByteArray())

        fun bits(done: String): BitSet = try {
            BitSet.valueOf(HexFormat.of().parseHex(done))
        } catch (e: IllegalArgumentException) {
            throw MalformedException("done is no bit set: ${e.message}")
        }

        fun parse(fields: Fields): StoredChunk {
            val flat = fields.list("on")
            if (flat.size % PARTS_OF_A_PLACEMENT != 0) throw MalformedException("on is cut short")
            val size = if (fields[SIZE] == null) null else fields.count(SIZE).toInt()
            return StoredChunk(
                fields.text("job"),
                fields.count("first").toInt(),
                size,
                bits(fields.text("done")),
                flat.chunked(PARTS_OF_A_PLACEMENT) {
                    placement(it)
                },
            )
        }

        private fun placement(parts: List<Any?>): StoredPlacement {
            val (task, attempt, machineName) = parts
            return StoredPlacement(
                (task as? Long)?.toInt() ?: throw MalformedException("task is no integer"),
                attempt as? Long ?: throw MalformedException("attempt is no integer"),
                machineName as? String ?: throw MalformedException("host is no text"),
            )
        }
    }
}

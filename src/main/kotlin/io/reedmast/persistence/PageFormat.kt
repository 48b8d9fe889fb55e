package io.reedmast.persistence

import io.reedmast.model.Chunk
import io.reedmast.rollout.GateSnapshot
import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException

/**
 * The record formats of [ProgressPage]. All are read at any time; which one is written depends on the rollout.
 *
 * Sizes are in bytes, as the store counts them: see [io.reedmast.wire.BodyCodec.jsonSize].
 */
enum class PageFormat(private val bytesPerChunk: Int, private val bytesPerPlacement: Int) {
    /** Chunks do not say how many tasks they cover: it is the chunk size in the job's record. */
    PLAIN_UNSIZED(bytesPerChunk = 64, bytesPerPlacement = 48),

    /** As [PLAIN_UNSIZED], and each chunk has its size. */
    PLAIN_SIZED(bytesPerChunk = 64, bytesPerPlacement = 48),

    /** See [DensePages]. */
    DENSE(bytesPerChunk = 28, bytesPerPlacement = 38),
    ;

    /** The most bytes that [chunk] may come to take once all its tasks are placed. */
    fun maxBytesFor(chunk: Chunk): Int {
        val resultBytes = chunk.size / TASKS_PER_HEX_DIGIT + 1
        return bytesPerChunk + chunk.job.spec.jobId.length + chunk.size * bytesPerPlacement + resultBytes
    }

    /** A page with [chunks] as it is stored in this form. */
    fun toFields(chunks: List<StoredChunk>): Fields = when (this) {
        PLAIN_UNSIZED, PLAIN_SIZED -> PlainPages.toFields(chunks)
        DENSE -> DensePages.toFields(chunks)
    }

    companion object {
        /** Results are stored as a bit set in hexadecimal. */
        private const val TASKS_PER_HEX_DIGIT = 4
        private const val MIN_CHUNKS_PER_VALUE = 2

        /** A multiple of a chunk's overhead is set aside, since the name of its job takes room too. */
        private const val OVERHEADS_PER_CHUNK = 3

        /** The room of one result, which is more than its bit takes. */
        private const val BYTES_PER_RESULT = 1

        /** The form to write; [areSizesReadable]: every controller reads chunks that say how many tasks they cover. */
        fun forWriting(gates: GateSnapshot, areSizesReadable: Boolean): PageFormat = when {
            gates.writes(DensePages.FEATURE) -> DENSE
            areSizesReadable -> PLAIN_SIZED
            else -> PLAIN_UNSIZED
        }

        /**
         * The chunks of a stored page, whatever its form. A malformed chunk is reported to [onMalformed] and left out,
         * and the others are read all the same. Throws [MalformedException] if the page itself is malformed.
         */
        fun chunksOf(page: Fields, onMalformed: (MalformedException) -> Unit): List<StoredChunk> =
            if (DensePages.isDense(page)) {
                DensePages.chunksOf(page, onMalformed)
            } else {
                PlainPages.chunksOf(page, onMalformed)
            }

        /**
         * Whether a version that divides pages for reduced limits has stored the page. Throws [MalformedException] if
         * the page is malformed.
         */
        fun hasChunkSizes(page: Fields): Boolean = DensePages.isDense(page) || PlainPages.hasChunkSizes(page)

        /** The most tasks that a chunk may have so that two of them fit a value of [valueBytes] in any form. */
        fun chunkSizeFor(valueBytes: Int): Int {
            val bytesForTasks = valueBytes / MIN_CHUNKS_PER_VALUE - OVERHEADS_PER_CHUNK * PLAIN_SIZED.bytesPerChunk
            return maxOf(1, bytesForTasks / (PLAIN_SIZED.bytesPerPlacement + BYTES_PER_RESULT))
        }
    }
}

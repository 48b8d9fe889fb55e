package io.reedmast.persistence

import io.reedmast.model.Chunk
import io.reedmast.rollout.GateSnapshot
import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException

/**
 * The record formats of [ProgressPage]. Each of them can be read at any time; which one is written depends on the
 * rollout.
 *
 * Sizes are in bytes, as the store counts them: see [io.reedmast.wire.BodyCodec.jsonSize].
 */
enum class PageFormat(private val bytesPerChunk: Int, private val bytesPerPlacement: Int) {
    /**
     * Plain pages (see [PlainPages]) whose chunks do not say how many tasks they cover: the chunk size is in the job's
     * record.
     */
    PLAIN_UNSIZED(bytesPerChunk = 64, bytesPerPlacement = 48),

    /** Like [PLAIN_UNSIZED], but each chunk includes its size. */
    PLAIN_SIZED(bytesPerChunk = 64, bytesPerPlacement = 48),

    /** See [DensePages]. */
    DENSE(bytesPerChunk = 28, bytesPerPlacement = 38),
    ;

    /** An upper bound of the bytes that [chunk] takes once all its tasks are placed. */
    fun maxBytesFor(chunk: Chunk): Int {
        val resultBytes = chunk.size / TASKS_PER_HEX_DIGIT + 1
        return bytesPerChunk + chunk.job.spec.jobId.length + chunk.size * bytesPerPlacement + resultBytes
    }

    /** Encodes a page with [chunks] in this format. */
    fun toFields(chunks: List<StoredChunk>): Fields = when (this) {
        PLAIN_UNSIZED, PLAIN_SIZED -> PlainPages.toFields(chunks)
        DENSE -> DensePages.toFields(chunks)
    }

    companion object {
        /** Results are stored as a bit set in hexadecimal. */
        private const val TASKS_PER_HEX_DIGIT = 4
        private const val MIN_CHUNKS_PER_VALUE = 2

        /** A multiple of a chunk's overhead is reserved, since the job ID takes space too. */
        private const val OVERHEADS_PER_CHUNK = 3

        /** The space reserved for one result, more than the bit that it takes. */
        private const val BYTES_PER_RESULT = 1

        /**
         * The format to write. [areSizesReadable] is true if every controller can read chunks that say how many tasks
         * they cover.
         */
        fun forWriting(gates: GateSnapshot, areSizesReadable: Boolean): PageFormat = when {
            gates.writesNewFormat(DensePages.FEATURE) -> DENSE
            areSizesReadable -> PLAIN_SIZED
            else -> PLAIN_UNSIZED
        }

        /**
         * Decodes the chunks of a stored page of any format. A malformed chunk is reported to [onMalformed] and
         * skipped; the others are still decoded. Throws [MalformedException] if the page itself is malformed.
         */
        fun chunksOf(page: Fields, onMalformed: (MalformedException) -> Unit): List<StoredChunk> =
            if (DensePages.isDense(page)) {
                DensePages.chunksOf(page, onMalformed)
            } else {
                PlainPages.chunksOf(page, onMalformed)
            }

        /**
         * Whether the page was stored by a version that splits pages for reduced limits: only such versions write chunk
         * sizes or dense pages. Throws [MalformedException] if the page is malformed.
         */
        fun hasChunkSizes(page: Fields): Boolean = DensePages.isDense(page) || PlainPages.hasChunkSizes(page)

        /** The maximum number of tasks in a chunk so that two chunks fit into a value of [valueBytes] in any format. */
        fun chunkSizeFor(valueBytes: Int): Int {
            val bytesForTasks = valueBytes / MIN_CHUNKS_PER_VALUE - OVERHEADS_PER_CHUNK * PLAIN_SIZED.bytesPerChunk
            return maxOf(1, bytesForTasks / (PLAIN_SIZED.bytesPerPlacement + BYTES_PER_RESULT))
        }
    }
}

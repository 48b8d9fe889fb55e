package io.reedmast.persistence

import io.reedmast.model.Chunk
import io.reedmast.rollout.GateSnapshot
import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import io.reedmast.wire.maps

/**
 * The forms in which pages of progress are stored. All are read at any time; which one is written depends on the
 * rollout.
 */
enum class PageForm(private val bytesPerChunk: Int, private val bytesPerPlacement: Int) {
    /** Chunks do not say how many tasks they speak for. */
    UNSIZED(bytesPerChunk = 64, bytesPerPlacement = 48),

    /** As [UNSIZED], and each chunk has its size. */
    SIZED(bytesPerChunk = 64, bytesPerPlacement = 48),

    /** See [DensePages]. */
    DENSE(bytesPerChunk = 28, bytesPerPlacement = 38),
    ;

    /** The most that [chunk] may come to take once all its tasks are placed. */
    fun reserveFor(chunk: Chunk): Int =
        bytesPerChunk + chunk.job.spec.jobId.length + chunk.size * bytesPerPlacement + chunk.size / 4 + 1

    fun toFields(chunks: List<StoredChunk>): Fields = if (this ==
        DENSE
    ) {
        DensePages.toFields(chunks)
    } else {
        mapOf(CHUNKS to chunks.map { it.toFields() })
    }

    companion object {
        private const val CHUNKS = "chunks"
        private const val SIZE = "size"

        /**
         * The form that is to be written; [sized]: every controller reads chunks that say how many tasks they speak
         * for.
         */
        fun toWrite(gates: GateSnapshot, sized: Boolean): PageForm = when {
            gates.writes(DensePages.FEATURE) -> DENSE
            sized -> SIZED
            else -> UNSIZED
        }

        /**
         * The chunks of a stored page, whatever its form. One that cannot be read is handed to [unreadable]; the others
         * are read all the same.
         */
        fun chunksOf(page: Fields, unreadable: (MalformedException) -> Unit): List<StoredChunk> {
            if (DensePages.isDense(page)) return DensePages.chunksOf(page, unreadable)
            return page.maps(CHUNKS).mapNotNull { chunk ->
                try {
                    StoredChunk.parse(chunk)
                } catch (e: MalformedException) {
                    unreadable(e)
                    null
                }
            }
        }

        /** Whether a version that divides pages for reduced limits has stored the page. */
        fun isSized(page: Fields): Boolean = DensePages.isDense(page) || page.maps(CHUNKS).any { it[SIZE] != null }

        /** Tasks that a chunk has at most, so that two of them fit one value in any form. */
        fun chunkSizeFor(valueBytes: Int): Int = maxOf(
            1,
            (valueBytes / 2 - 3 * SIZED.bytesPerChunk) / (SIZED.bytesPerPlacement + 1),
        )
    }
}

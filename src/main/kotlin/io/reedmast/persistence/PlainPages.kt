package io.reedmast.persistence

import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import io.reedmast.wire.maps

/** The codec of plain pages, in which each chunk is a map with named fields. */
internal object PlainPages {
    private const val CHUNKS = "chunks"

    /** Encodes a page with [chunks] in the plain format. */
    fun toFields(chunks: List<StoredChunk>): Fields = mapOf(CHUNKS to chunks.map { it.toFields() })

    /**
     * Decodes the chunks of a plain page. A malformed chunk is reported to [onMalformed] and skipped. Throws
     * [MalformedException] if the page itself is malformed, or whatever [onMalformed] throws.
     */
    fun chunksOf(page: Fields, onMalformed: (MalformedException) -> Unit = { throw it }): List<StoredChunk> =
        page.maps(CHUNKS).parseChunks(onMalformed) { StoredChunk.parse(it) }

    /** Whether at least one chunk of a plain page says how many tasks it covers. */
    fun hasChunkSizes(page: Fields): Boolean = page.maps(CHUNKS).any { StoredChunk.hasSize(it) }
}

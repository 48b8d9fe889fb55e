package io.reedmast.persistence

import io.reedmast.kvstore.Keys
import io.reedmast.rollout.FeatureName
import io.reedmast.rollout.MigrationScope
import io.reedmast.rollout.RecordMigration
import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import io.reedmast.wire.list

/**
 * The codec of dense pages, and the migration between dense and plain pages.
 *
 * A dense page has a table of machine names, to which placements refer by index. Attempts are relative to the lowest
 * attempt in the page and tasks to the first task of their chunk; chunks are lists without field names. Both formats
 * hold the same information, so either can be converted to the other.
 */
object DensePages : RecordMigration {
    /** The feature whose gate decides whether pages are written in the dense format. */
    val FEATURE = FeatureName("dense-pages")
    override val scope = MigrationScope.SHARD
    private const val MACHINES = "machines"
    private const val LOWEST_ATTEMPT = "lowestAttempt"
    private const val CHUNKS = "dense"

    override fun prefix(shard: Int): String = Keys.pagesOf(shard)

    override fun forward(record: Fields): Fields {
        if (!isDense(record)) return toFields(PlainPages.chunksOf(record))
        requireReadableDense(record)
        return record
    }

    override fun backward(record: Fields): Fields {
        if (isDense(record)) return PlainPages.toFields(chunksOf(record))
        requireReadablePlain(record)
        return record
    }

    private fun requireReadableDense(record: Fields) {
        chunksOf(record)
    }

    private fun requireReadablePlain(record: Fields) {
        PlainPages.chunksOf(record)
    }

    /** Whether the stored page has the dense format. */
    fun isDense(record: Fields): Boolean = CHUNKS in record

    /** Encodes a page with [chunks] in the dense format. */
    fun toFields(chunks: List<StoredChunk>): Fields {
        val machineNames = chunks.flatMap { chunk -> chunk.placements.map { it.machineName } }.distinct()
        val machineIndexes = machineNames.withIndex().associate { (index, name) -> name to index.toLong() }
        val lowestAttempt = chunks.flatMap { chunk -> chunk.placements.map { it.attempt } }.minOrNull() ?: 0L
        return mapOf(
            MACHINES to machineNames,
            LOWEST_ATTEMPT to lowestAttempt,
            CHUNKS to chunks.map { DenseChunks.toList(it, machineIndexes, lowestAttempt) },
        )
    }

    /**
     * Decodes the chunks of a dense page. A malformed chunk is reported to [onMalformed] and skipped; the others are
     * still decoded. Throws [MalformedException] if the page itself is malformed, or whatever [onMalformed] throws.
     */
    fun chunksOf(record: Fields, onMalformed: (MalformedException) -> Unit = { throw it }): List<StoredChunk> {
        val machineNames = record.list(MACHINES).map {
            (it as? String).orMalformed("$MACHINES has an entry that is not a string")
        }
        val lowestAttempt = integerOf(record[LOWEST_ATTEMPT])
        return record.list(CHUNKS).parseChunks(onMalformed) { chunk ->
            DenseChunks.parse((chunk as? List<*>).orMalformed("a chunk is not a list"), machineNames, lowestAttempt)
        }
    }
}

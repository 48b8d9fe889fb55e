package io.reedmast.persistence

import io.reedmast.kvstore.Keys
import io.reedmast.rollout.FeatureName
import io.reedmast.rollout.MigrationScope
import io.reedmast.rollout.RecordMigration
import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import io.reedmast.wire.list
import io.reedmast.wire.maps

/**
 * The dense form of a page of progress, and the steps between it and the plain one.
 *
 * Machines stand in a table of the page, attempts are counted from the page's lowest one, tasks from the chunk's first
 * one, and chunks have no names for their parts. Both forms hold the same, so either can be made from the other.
 */
object DensePages : RecordMigration {
    val FEATURE = FeatureName("dense-pages")
    override val scope = MigrationScope.SHARD
    private const val MACHINES = "machines"
    private const val LOWEST_ATTEMPT = "lowestAttempt"
    private const val CHUNKS = "dense"
    private const val PLAIN_CHUNKS = "chunks"

    /** Job, first task, number of tasks, results, placements. */
    private const val PARTS_OF_A_CHUNK = 5

    override fun prefix(shard: Int): String = Keys.pagesOf(shard)

    override fun forward(record: Fields): Fields = if (isDense(record)) {
        record.also {
            chunksOf(it)
        }
    } else {
        toFields(plainChunks(record))
    }

    override fun back(record: Fields): Fields = if (isDense(record)) {
        mapOf(
            PLAIN_CHUNKS to chunksOf(record).map {
                it.toFields()
            },
        )
    } else {
        record.also { plainChunks(it) }
    }

    fun isDense(record: Fields): Boolean = CHUNKS in record

    private fun plainChunks(record: Fields) = record.maps(PLAIN_CHUNKS).map { StoredChunk.parse(it) }

    /** A page with [chunks] in the dense form. */
    fun toFields(chunks: List<StoredChunk>): Fields {
        val machines = chunks.flatMap { chunk -> chunk.placements.map { it.machineName } }.distinct()
        val indexOf = machines.withIndex().associate { (index, name) -> name to index.toLong() }
        val lowest = chunks.flatMap { chunk -> chunk.placements.map { it.attempt } }.minOrNull() ?: 0L
        return mapOf(
            MACHINES to machines,
            LOWEST_ATTEMPT to lowest,
            CHUNKS to chunks.map { chunk ->
                val placements = chunk.placements.flatMap {
                    listOf(it.task.toLong() - chunk.first, it.attempt - lowest, indexOf.getValue(it.machineName))
                }
                listOf(chunk.jobId, chunk.first.toLong(), chunk.size?.toLong(), StoredChunk.hex(chunk.done), placements)
            },
        )
    }

    /**
     * The chunks of a dense page. A chunk that cannot be read is handed to [unreadable], and the others are read all
     * the same.
     */
    fun chunksOf(record: Fields, unreadable: (MalformedException) -> Unit = { throw it }): List<StoredChunk> {
        val machines = record.list(MACHINES).map {
            it as? String ?: throw MalformedException("$MACHINES holds no name")
        }
        val lowest = integer(record[LOWEST_ATTEMPT])
        return record.list(CHUNKS).mapNotNull { chunk ->
            try {
                chunk(chunk as? List<*> ?: throw MalformedException("a chunk is not a list"), machines, lowest)
            } catch (e: MalformedException) {
                unreadable(e)
                null
            }
        }
    }

    private fun chunk(parts: List<Any?>, machines: List<String>, lowest: Long): StoredChunk {
        if (parts.size != PARTS_OF_A_CHUNK) throw MalformedException("a chunk has ${parts.size} parts")
        val (jobId, firstTask, taskCount, done, placements) = parts
        val first = integer(firstTask).toInt()
        val flat = placements as? List<*> ?: throw MalformedException("placements are no list")
        if (flat.size % StoredChunk.PARTS_OF_A_PLACEMENT != 0) throw MalformedException("placements are cut short")
        return StoredChunk(
            jobId as? String ?: throw MalformedException("a chunk names no job"),
            first,
            taskCount?.let { integer(it).toInt() },
            StoredChunk.bits(done as? String ?: throw MalformedException("done is no text")),
            flat.chunked(StoredChunk.PARTS_OF_A_PLACEMENT).map { (task, attempt, machine) ->
                val machineName =
                    machines.getOrNull(integer(machine).toInt())
                        ?: throw MalformedException("a placement names no machine")
                StoredPlacement(first + integer(task).toInt(), lowest + integer(attempt), machineName)
            },
        )
    }

    private fun integer(value: Any?): Long = when (value) {
        is Long -> value
        is Int -> value.toLong()
        else -> throw MalformedException("$value is no integer")
    }
}

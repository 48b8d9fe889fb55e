package io.reedmast.persistence

import io.reedmast.wire.MalformedException

/** The codec of one chunk of a dense page: a list of values whose positions say what they are. */
internal object DenseChunks {
    private const val JOB_ID = 0
    private const val FIRST = 1
    private const val SIZE = 2
    private const val DONE = 3
    private const val PLACEMENTS = 4
    private const val VALUES_PER_CHUNK = 5

    /** The values of [chunk]; [machineIndexes] are the positions in the page's table of machines. */
    fun toList(chunk: StoredChunk, machineIndexes: Map<String, Long>, lowestAttempt: Long): List<Any?> {
        val placements = chunk.placements.flatMap {
            listOf(it.task.toLong() - chunk.first, it.attempt - lowestAttempt, machineIndexes.getValue(it.machineName))
        }
        return listOf(
            chunk.jobId,
            chunk.first.toLong(),
            chunk.size?.toLong(),
            StoredChunk.encodeDone(chunk.done),
            placements,
        )
    }

    /** Reads a chunk of a page with this table of machines. Throws [MalformedException] if it is malformed. */
    fun parse(values: List<Any?>, machineNames: List<String>, lowestAttempt: Long): StoredChunk {
        if (values.size != VALUES_PER_CHUNK) throw MalformedException("a chunk has ${values.size} parts")
        val first = integerOf(values[FIRST]).toInt()
        val placements = placementValues(values[PLACEMENTS])
        return StoredChunk(
            (values[JOB_ID] as? String).orMalformed("a chunk names no job"),
            first,
            values[SIZE]?.let { integerOf(it).toInt() },
            StoredChunk.decodeDone((values[DONE] as? String).orMalformed("done is no text")),
            placements.map { (task, attempt, machineIndex) ->
                val machineName = machineNames.getOrNull(integerOf(machineIndex).toInt())
                    .orMalformed("a placement names no machine")
                StoredPlacement(first + integerOf(task).toInt(), lowestAttempt + integerOf(attempt), machineName)
            },
        )
    }

    /** Splits the flat list of placements into the values of each one. */
    private fun placementValues(value: Any?): List<List<Any?>> {
        val flat = (value as? List<*>).orMalformed("placements are no list")
        if (flat.size % StoredChunk.VALUES_PER_PLACEMENT != 0) throw MalformedException("placements are cut short")
        return flat.chunked(StoredChunk.VALUES_PER_PLACEMENT)
    }
}

/** An integer of a dense page: as a [Long] from the store, or as an [Int] before it was stored. */
internal fun integerOf(value: Any?): Long = when (value) {
    is Long -> value
    is Int -> value.toLong()
    else -> throw MalformedException("$value is no integer")
}

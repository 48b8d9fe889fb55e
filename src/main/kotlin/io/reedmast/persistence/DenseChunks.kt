package io.reedmast.persistence

import io.reedmast.wire.MalformedException

/** The codec of one chunk of a dense page: a list in which the position of a value gives its meaning. */
internal object DenseChunks {
    private const val JOB_ID = 0
    private const val FIRST = 1
    private const val SIZE = 2
    private const val DONE = 3
    private const val PLACEMENTS = 4
    private const val VALUES_PER_CHUNK = 5

    /** Encodes [chunk]; [machineIndexes] maps machine names to their positions in the page's machine table. */
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

    /**
     * Decodes a chunk of a page with the machine table [machineNames]. Throws [MalformedException] if it is malformed.
     */
    fun parse(values: List<Any?>, machineNames: List<String>, lowestAttempt: Long): StoredChunk {
        if (values.size != VALUES_PER_CHUNK) throw MalformedException("a chunk has ${values.size} values")
        val first = integerOf(values[FIRST]).toInt()
        val placements = placementValues(values[PLACEMENTS])
        return StoredChunk(
            (values[JOB_ID] as? String).orMalformed("job ID of a chunk is missing or not a string"),
            first,
            values[SIZE]?.let { integerOf(it).toInt() },
            StoredChunk.decodeDone((values[DONE] as? String).orMalformed("done is missing or not a string")),
            placements.map { (task, attempt, machineIndex) ->
                val machineName = machineNames.getOrNull(integerOf(machineIndex).toInt())
                    .orMalformed("machine index of a placement is not in the machine table")
                StoredPlacement(first + integerOf(task).toInt(), lowestAttempt + integerOf(attempt), machineName)
            },
        )
    }

    /** Splits the flat list of placements into the values of each placement. */
    private fun placementValues(value: Any?): List<List<Any?>> {
        val flat = (value as? List<*>).orMalformed("placements of a chunk are missing or not a list")
        if (flat.size % StoredChunk.VALUES_PER_PLACEMENT != 0) throw MalformedException("last placement is incomplete")
        return flat.chunked(StoredChunk.VALUES_PER_PLACEMENT)
    }
}

/** An integer of a dense page: a [Long] if read from the store, possibly an [Int] if not stored yet. */
internal fun integerOf(value: Any?): Long = when (value) {
    is Long -> value
    is Int -> value.toLong()
    else -> throw MalformedException("$value is not an integer")
}

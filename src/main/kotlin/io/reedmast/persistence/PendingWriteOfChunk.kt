package io.reedmast.persistence

import io.reedmast.model.Chunk
import io.reedmast.model.PendingWrite
import io.reedmast.model.ShardState

/** The most urgent content of [chunk] that may still have to be stored. */
internal fun ShardState.pendingWriteOf(chunk: Chunk): PendingWrite = when {
    chunk.placements.values.all { it.committed } -> PendingWrite.RESULTS
    urgency.isLatencySensitive(chunk.job) -> PendingWrite.URGENT_PLACEMENTS
    else -> PendingWrite.ARRAY_PLACEMENTS
}

package io.reedmast.persistence

import io.reedmast.model.Chunk
import io.reedmast.model.PendingWrite
import io.reedmast.model.ShardState

/** What waits for [chunk] to be stored. */
internal fun ShardState.pendingWriteOf(chunk: Chunk): PendingWrite = when {
    chunk.placements.values.all { it.committed } -> PendingWrite.RESULTS
    urgency.isLatencySensitive(chunk.job) -> PendingWrite.URGENT_PLACEMENTS
    else -> PendingWrite.ARRAY_PLACEMENTS
}

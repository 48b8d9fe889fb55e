package io.reedmast.cluster

import io.reedmast.model.RecordConflict
import io.reedmast.settings.ShardId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Which shards' records contain a machine, and who answers its worker, must not depend on the order of the records. */
class RecordedShardsTest {
    private val orders = listOf(listOf(2, 0), listOf(0, 2))

    @Test
    fun `the shard with the lowest number answers, in whatever order the records arrive`() {
        for (order in orders) {
            val recorded = RecordedShards()
            order.forEach { recorded.add("host-1", ShardId(it)) }

            assertEquals(listOf(ShardId(0), ShardId(2)), recorded.of("host-1"))
            assertEquals(RecordConflict.ANSWERED_HERE, recorded.conflictOf("host-1", ShardId(0)))
            assertEquals(RecordConflict.ANSWERED_ELSEWHERE, recorded.conflictOf("host-1", ShardId(2)))
            assertEquals(setOf("host-1"), recorded.contested)
        }
    }

    @Test
    fun `a machine that only one shard's record still lists is not contested`() {
        val recorded = RecordedShards()
        listOf(0, 2).forEach { recorded.add("host-1", ShardId(it)) }

        recorded.remove("host-1", ShardId(0))

        assertEquals(listOf(ShardId(2)), recorded.of("host-1"))
        assertEquals(RecordConflict.NONE, recorded.conflictOf("host-1", ShardId(2)))
        assertEquals(emptySet<String>(), recorded.contested)
        assertEquals(1, recorded.machineCount)
    }
}

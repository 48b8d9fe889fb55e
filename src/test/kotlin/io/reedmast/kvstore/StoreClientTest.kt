package io.reedmast.kvstore

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class StoreClientTest {
    private val store = StoreStub()

    @AfterEach
    fun close() = store.close()

    @Test
    fun `a watch delivers what has changed`() {
        store.changes = listOf(mapOf("put" to "c/1", "v" to mapOf("a" to 1), "stamp" to 101))
        val watched = store.client.watch("c/", after = 90, holdMs = 0) as WatchResult.Events
        assertEquals(listOf("c/1"), watched.events.map { it.path })
    }

    /**
     * After a long gap, the changes of large values may exceed what the client reads in one answer. They are no fewer
     * when requested again, and the controller would have learned of no change until ten thousand more had followed.
     */
    @Test
    fun `a watch answer that is too large to be read counts as compacted, so that all keys are read again`() {
        val large = "x".repeat(30_000)
        store.changes = List(300) { mapOf("put" to "c/$it", "v" to mapOf("a" to large), "stamp" to 101 + it) }
        assertEquals(WatchResult.Compacted, store.client.watch("c/", after = 90, holdMs = 0))
    }
}

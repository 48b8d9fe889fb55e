package io.reedmast.kvstore

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class StoreClientTest {
    private val service = StoreStub()

    @AfterEach
    fun close() = service.close()

    @Test
    fun `a watch delivers what has changed`() {
        service.changes = listOf(mapOf("put" to "c/1", "v" to mapOf("a" to 1), "stamp" to 101))
        val watched = service.client.watch("c/", after = 90, holdMs = 0) as WatchResult.Events
        assertEquals(listOf("c/1"), watched.events.map { it.path })
    }

    /**
     * After a long gap the changes of large values may be more than this side reads. Asked for again they are no fewer,
     * and the controller would have heard nothing any more until ten thousand others had followed.
     */
    @Test
    fun `more changes than can be read count as a gap, and everything is read anew`() {
        val large = "x".repeat(30_000)
        service.changes = List(300) { mapOf("put" to "c/$it", "v" to mapOf("a" to large), "stamp" to 101 + it) }
        assertEquals(WatchResult.Compacted, service.client.watch("c/", after = 90, holdMs = 0))
    }
}

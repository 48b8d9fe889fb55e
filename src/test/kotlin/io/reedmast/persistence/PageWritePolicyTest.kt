package io.reedmast.persistence

import io.reedmast.kvstore.WritePriority
import io.reedmast.model.PendingWrite
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Which pages may be written with the permits that are left, and with which priority. */
class PageWritePolicyTest {
    private fun placements(pendingWrite: PendingWrite, permitLevel: Double, placementWritesInFlight: Int) =
        PageWritePolicy.priorityOf(pendingWrite, dirtyForMs = 0, permitLevel, placementWritesInFlight)

    private fun results(dirtyForMs: Long, permitLevel: Double) =
        PageWritePolicy.priorityOf(PendingWrite.RESULTS, dirtyForMs, permitLevel, placementWritesInFlight = 0)

    @Test
    fun `results wait for further results to share their write, placements do not`() {
        assertFalse(PageWritePolicy.isDue(PendingWrite.RESULTS, dirtyForMs = 699))
        assertTrue(PageWritePolicy.isDue(PendingWrite.RESULTS, dirtyForMs = 700))
        assertTrue(PageWritePolicy.isDue(PendingWrite.ARRAY_PLACEMENTS, dirtyForMs = 0))
        assertTrue(PageWritePolicy.isDue(PendingWrite.URGENT_PLACEMENTS, dirtyForMs = 0))
    }

    @Test
    fun `the last permits are reserved for acceptances`() {
        PendingWrite.entries.forEach {
            assertNull(
                PageWritePolicy.priorityOf(it, dirtyForMs = 60_000, permitLevel = 0.25, placementWritesInFlight = 0),
            )
        }
        assertEquals(WritePriority.URGENT, placements(PendingWrite.ARRAY_PLACEMENTS, 0.26, placementWritesInFlight = 0))
    }

    @Test
    fun `results are deferred writes that need spare permits, until they are overdue`() {
        assertNull(results(dirtyForMs = 700, permitLevel = 0.65))
        assertEquals(WritePriority.DEFERRED, results(dirtyForMs = 700, permitLevel = 0.66))
        assertEquals(WritePriority.URGENT, results(dirtyForMs = 8_000, permitLevel = 0.26))
    }

    @Test
    fun `the fewer permits are left, the fewer pages with placements are written concurrently`() {
        assertEquals(WritePriority.URGENT, placements(PendingWrite.ARRAY_PLACEMENTS, 0.5, placementWritesInFlight = 1))
        assertNull(placements(PendingWrite.ARRAY_PLACEMENTS, 0.5, placementWritesInFlight = 2))
        assertEquals(WritePriority.URGENT, placements(PendingWrite.URGENT_PLACEMENTS, 0.5, placementWritesInFlight = 4))
        assertNull(placements(PendingWrite.URGENT_PLACEMENTS, 0.5, placementWritesInFlight = 5))
        assertEquals(WritePriority.URGENT, placements(PendingWrite.ARRAY_PLACEMENTS, 0.81, placementWritesInFlight = 7))
        assertNull(placements(PendingWrite.ARRAY_PLACEMENTS, 0.81, placementWritesInFlight = 8))
    }
}

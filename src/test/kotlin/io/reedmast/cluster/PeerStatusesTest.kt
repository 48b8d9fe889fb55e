package io.reedmast.cluster

import io.reedmast.ports.Cancellation
import io.reedmast.ports.PeerMessage
import io.reedmast.settings.ControllerId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Which reports of the other controllers extend the time up to which all cancellations are known. */
class PeerStatusesTest {
    private val statuses = PeerStatuses(ControllerId(0), 3, "now")

    private fun report(
        from: Int,
        query: PeerMessage.ControllerStatusQuery,
        uptimeMs: Long = 1_000_000,
        incarnation: String = query.incarnation,
        storeViewAgeMs: Long? = 10_000,
        cancellations: List<Cancellation>? = emptyList(),
    ) = PeerMessage.ControllerStatusReport(
        ControllerId(from),
        incarnation,
        query.sequence,
        uptimeMs,
        storeViewAgeMs,
        cancellations,
    )

    @Test
    fun `every other controller must have reported, and the earliest query counts`() {
        val first = statuses.query(10_000)
        statuses.applyReport(report(1, first), 10_100, OBSERVED_THROUGH)
        assertNull(statuses.cancellationsKnownUntil())
        val second = statuses.query(11_000)
        statuses.applyReport(report(2, second), 11_100, OBSERVED_THROUGH)
        assertEquals(10_000, statuses.cancellationsKnownUntil())
        statuses.applyReport(report(1, second), 11_100, OBSERVED_THROUGH)
        assertEquals(11_000, statuses.cancellationsKnownUntil())
    }

    @Test
    fun `a report of a process that started after the store last answered does not count`() {
        val query = statuses.query(10_000)
        statuses.applyReport(report(1, query), 10_100, OBSERVED_THROUGH)
        statuses.applyReport(report(2, query, uptimeMs = 10_100 - OBSERVED_THROUGH), 10_100, OBSERVED_THROUGH)
        assertNull(statuses.cancellationsKnownUntil())
    }

    @Test
    fun `a report for an earlier process, or for no query of this one, does not count`() {
        val query = statuses.query(10_000)
        statuses.applyReport(report(1, query), 10_100, OBSERVED_THROUGH)
        statuses.applyReport(report(2, query, incarnation = "before"), 10_100, OBSERVED_THROUGH)
        statuses.applyReport(report(2, query.copy(sequence = 77)), 10_100, OBSERVED_THROUGH)
        statuses.applyReport(report(0, query), 10_100, OBSERVED_THROUGH)
        assertNull(statuses.cancellationsKnownUntil())
    }

    @Test
    fun `a report without its list of cancellations does not count`() {
        val query = statuses.query(10_000)
        statuses.applyReport(report(1, query), 10_100, OBSERVED_THROUGH)
        statuses.applyReport(report(2, query, cancellations = null), 10_100, OBSERVED_THROUGH)
        assertNull(statuses.cancellationsKnownUntil())
    }

    @Test
    fun `a delayed copy of an older report does not move the time back`() {
        val first = statuses.query(10_000)
        val second = statuses.query(11_000)
        for (peer in 1..2) statuses.applyReport(report(peer, second), 11_100, OBSERVED_THROUGH)
        statuses.applyReport(report(1, first), 12_000, OBSERVED_THROUGH)
        assertEquals(11_000, statuses.cancellationsKnownUntil())
    }

    @Test
    fun `without other controllers the time is unknown`() {
        assertNull(PeerStatuses(ControllerId(0), 1, "now").cancellationsKnownUntil())
    }

    @Test
    fun `the store is unreachable for all if no reporting controller reaches it`() {
        assertFalse(statuses.isStoreUnreachableForPeers(10_000))
        val query = statuses.query(10_000)
        statuses.applyReport(report(1, query), 10_100, OBSERVED_THROUGH)
        assertTrue(statuses.isStoreUnreachableForPeers(10_100))
        statuses.applyReport(report(2, query, storeViewAgeMs = 1_500), 10_100, OBSERVED_THROUGH)
        assertFalse(statuses.isStoreUnreachableForPeers(10_100))
        // Reports that are too old say nothing about the present.
        assertFalse(statuses.isStoreUnreachableForPeers(20_000))
    }

    private companion object {
        const val OBSERVED_THROUGH = 5_000L
    }
}

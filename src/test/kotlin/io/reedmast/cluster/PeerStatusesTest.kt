package io.reedmast.cluster

import io.reedmast.ports.Cancellation
import io.reedmast.ports.PeerMessage
import io.reedmast.settings.ControllerId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** What counts as a confirmation by the other controllers, and what does not. */
class PeerStatusesTest {
    private val statuses = PeerStatuses(ControllerId(0), 3, "now")

    private fun report(
        from: Int,
        query: PeerMessage.ControllerStatusQuery,
        uptimeMs: Long = 1_000_000,
        incarnation: String = query.incarnation,
        storeAgeMs: Long? = 10_000,
        cancellations: List<Cancellation>? = emptyList(),
    ) = PeerMessage.ControllerStatusReport(
        ControllerId(from),
        incarnation,
        query.sequence,
        uptimeMs,
        storeAgeMs,
        cancellations,
    )

    @Test
    fun `all others must have answered, and the earliest query counts`() {
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
    fun `a process that began after the store was last heard confirms nothing`() {
        val query = statuses.query(10_000)
        statuses.applyReport(report(1, query), 10_100, OBSERVED_THROUGH)
        statuses.applyReport(report(2, query, uptimeMs = 10_100 - OBSERVED_THROUGH), 10_100, OBSERVED_THROUGH)
        assertNull(statuses.cancellationsKnownUntil())
    }

    @Test
    fun `an answer to an earlier process, or to no query of this one, confirms nothing`() {
        val query = statuses.query(10_000)
        statuses.applyReport(report(1, query), 10_100, OBSERVED_THROUGH)
        statuses.applyReport(report(2, query, incarnation = "before"), 10_100, OBSERVED_THROUGH)
        statuses.applyReport(report(2, query.copy(sequence = 77)), 10_100, OBSERVED_THROUGH)
        statuses.applyReport(report(0, query), 10_100, OBSERVED_THROUGH)
        assertNull(statuses.cancellationsKnownUntil())
    }

    @Test
    fun `a report without its list of cancellations confirms nothing`() {
        val query = statuses.query(10_000)
        statuses.applyReport(report(1, query), 10_100, OBSERVED_THROUGH)
        statuses.applyReport(report(2, query, cancellations = null), 10_100, OBSERVED_THROUGH)
        assertNull(statuses.cancellationsKnownUntil())
    }

    @Test
    fun `a late copy of an older answer does not move the time back`() {
        val first = statuses.query(10_000)
        val second = statuses.query(11_000)
        for (peer in 1..2) statuses.applyReport(report(peer, second), 11_100, OBSERVED_THROUGH)
        statuses.applyReport(report(1, first), 12_000, OBSERVED_THROUGH)
        assertEquals(11_000, statuses.cancellationsKnownUntil())
    }

    @Test
    fun `a controller without others is confirmed by nobody`() {
        assertNull(PeerStatuses(ControllerId(0), 1, "now").cancellationsKnownUntil())
    }

    @Test
    fun `the store is out for all if none of those that answer hears it`() {
        assertFalse(statuses.isStoreUnreachableForPeers(10_000))
        val query = statuses.query(10_000)
        statuses.applyReport(report(1, query), 10_100, OBSERVED_THROUGH)
        assertTrue(statuses.isStoreUnreachableForPeers(10_100))
        statuses.applyReport(report(2, query, storeAgeMs = 1_500), 10_100, OBSERVED_THROUGH)
        assertFalse(statuses.isStoreUnreachableForPeers(10_100))
        // What was heard long ago says nothing of now.
        assertFalse(statuses.isStoreUnreachableForPeers(20_000))
    }

    private companion object {
        const val OBSERVED_THROUGH = 5_000L
    }
}

package io.reedmast.cluster

import io.reedmast.ports.PeerMessage
import io.reedmast.settings.ControllerId

/**
 * The statuses that the other controllers report while this one gets no answers from the store.
 *
 * A cancelled job's tasks must be gone within `cancel_s` of the answer to the user (PROTOCOL, POST
 * /submissions/{id}/abort), and a worker keeps its tasks for `lease_s` after its last answered heartbeat (PROTOCOL,
 * Leases). Workers are therefore answered only while every cancellation confirmed to a user up to a recent time is
 * known here, see [WatchStaleness.isWithinSelfFence].
 *
 * A controller confirms a cancellation to a user only after recording it in its job index, and its report contains all
 * cancellations in that index. Once every other controller has answered a query with a report, every cancellation
 * confirmed to a user before the earliest of these queries is known here, although the store does not answer. A report
 * counts only if the reporting process was already running at the time up to which this controller knows the store's
 * contents: cancellations that an earlier process of that controller confirmed after that time are not in the report.
 *
 * All times are in milliseconds of this controller's steady clock.
 */
class PeerStatuses(private val self: ControllerId, members: Int, private val incarnation: String) {
    private class Peer {
        /** When the query for the newest report was sent; null if there is no report. */
        var askedAt: Long? = null

        /** How long before its newest report both of its watches had last been answered; null if they never were. */
        var storeViewAgeMs: Long? = null

        /** Every cancellation that this peer confirmed to a user before this time is known here; null if unknown. */
        var knownUntil: Long? = null
    }

    private val peers: Map<ControllerId, Peer> =
        (0 until members).map { ControllerId(it) }.filter { it != self }.associateWith { Peer() }

    /** The times at which the newest queries were sent, by sequence number. */
    private val askedAtBySequence = object : LinkedHashMap<Long, Long>() {
        override fun removeEldestEntry(eldest: Map.Entry<Long, Long>) = size > MAX_PENDING_QUERIES
    }
    private var sequence = 0L

    /** Creates a query to be sent to every other controller at [now]. */
    fun query(now: Long): PeerMessage.ControllerStatusQuery {
        askedAtBySequence[++sequence] = now
        return PeerMessage.ControllerStatusQuery(self, incarnation, sequence)
    }

    /**
     * Applies a report that was received at [now] and whose cancellations have already been recorded. Everything stored
     * up to [observedThrough] is known here.
     */
    fun applyReport(report: PeerMessage.ControllerStatusReport, now: Long, observedThrough: Long?) {
        val peer = peers[report.from] ?: return
        // A delayed copy, or the answer to a query of an earlier process of this controller, matches no current query.
        if (report.incarnation != incarnation) return
        val askedAt = askedAtBySequence[report.sequence] ?: return
        if (askedAt < (peer.askedAt ?: askedAt)) return
        peer.askedAt = askedAt
        peer.storeViewAgeMs = report.storeViewAgeMs
        if (report.cancellations != null && wasRunningAt(observedThrough, report, now)) peer.knownUntil = askedAt
    }

    /** Whether the reporting process was certainly running at [time], whatever the drift between the two clocks. */
    private fun wasRunningAt(time: Long?, report: PeerMessage.ControllerStatusReport, now: Long): Boolean {
        val latestStart = now - (report.uptimeMs * (1 - MAX_CLOCK_DRIFT_RATIO)).toLong()
        return time != null && latestStart < time
    }

    /**
     * The time before which every cancellation that another controller confirmed to a user is known here; null if
     * unknown.
     */
    fun cancellationsKnownUntil(): Long? {
        var earliest = Long.MAX_VALUE
        for (peer in peers.values) earliest = minOf(earliest, peer.knownUntil ?: return null)
        return earliest.takeIf { peers.isNotEmpty() }
    }

    /** Whether at least one other controller reports, and none of those that report gets answers from the store. */
    fun isStoreUnreachableForPeers(now: Long): Boolean {
        val reporting = peers.values.filter { peer -> peer.askedAt?.let { now - it < REPORT_VALID_MS } ?: false }
        return reporting.isNotEmpty() && reporting.all { peer -> isCutOff(peer, now) }
    }

    private fun isCutOff(peer: Peer, now: Long): Boolean {
        val age = peer.storeViewAgeMs ?: return true
        return age + now - (peer.askedAt ?: now) > CUT_OFF_AFTER_MS
    }

    private companion object {
        const val MAX_PENDING_QUERIES = 16

        /** How long after its query a report is taken to describe the present state. */
        const val REPORT_VALID_MS = 4_000L

        /** The watches of a controller that reaches the store complete an answer every 1.5 s. */
        const val CUT_OFF_AFTER_MS = 4_500L
    }
}

package io.reedmast.cluster

import io.reedmast.ports.PeerMessage
import io.reedmast.settings.ControllerId

/**
 * What the other controllers report while this one does not hear the store.
 *
 * A cancelled job's tasks must be gone within `cancel_s` of the answer to the user (PROTOCOL, POST
 * /submissions/{id}/abort), and a worker keeps its tasks for `lease_s` after its last answered heartbeat (PROTOCOL,
 * Leases). Workers are therefore answered only while all cancellations that a user was told of up to a recent time are
 * known here, see [WatchStaleness.isWithinSelfFence].
 *
 * A controller tells a user of a cancellation only after recording it in its job index, and its report holds all that
 * are there. With a report of every other controller, asked for at some time, all cancellations that a user had been
 * told of by then are known here, although the store does not answer. A report counts only if that controller's process
 * was already running when this one last heard the store: what an earlier process of it confirmed since then is not in
 * the report.
 *
 * All times are in milliseconds of this controller's steady clock.
 */
class PeerStatuses(private val self: ControllerId, members: Int, private val incarnation: String) {
    private class Peer {
        /** When the newest report was asked for; null if there is none. */
        var askedAt: Long? = null

        /** How long before its newest report it had last heard the store; null if it never did. */
        var storeAgeMs: Long? = null

        /** All cancellations confirmed by this controller before this time are known here. */
        var confirmedAt: Long? = null
    }

    private val peers: Map<ControllerId, Peer> =
        (0 until members).map { ControllerId(it) }.filter { it != self }.associateWith { Peer() }

    /** When the newest queries were sent, by sequence number. */
    private val askedAtBySequence = object : LinkedHashMap<Long, Long>() {
        override fun removeEldestEntry(eldest: Map.Entry<Long, Long>) = size > MAX_OPEN_QUERIES
    }
    private var sequence = 0L

    /** A query to be sent to every other controller now. */
    fun query(now: Long): PeerMessage.ControllerStatusQuery {
        askedAtBySequence[++sequence] = now
        return PeerMessage.ControllerStatusQuery(self, incarnation, sequence)
    }

    /**
     * Applies a report that came at [now], and whose cancellations have been recorded already. [observedThrough] is the
     * time up to which everything stored is known here.
     */
    fun applyReport(report: PeerMessage.ControllerStatusReport, now: Long, observedThrough: Long?) {
        val peer = peers[report.from] ?: return
        // A late copy, or the answer to a query of this controller's earlier process, names no query of ours.
        if (report.incarnation != incarnation) return
        val askedAt = askedAtBySequence[report.sequence] ?: return
        if (askedAt < (peer.askedAt ?: askedAt)) return
        peer.askedAt = askedAt
        peer.storeAgeMs = report.storeViewAgeMs
        if (report.cancellations != null && wasRunningAt(observedThrough, report, now)) peer.confirmedAt = askedAt
    }

    /** Whether the reporting process was running at [time] whatever the drift of the two clocks. */
    private fun wasRunningAt(time: Long?, report: PeerMessage.ControllerStatusReport, now: Long): Boolean {
        val latestStart = now - (report.uptimeMs * (1 - MAX_CLOCK_DRIFT_RATIO)).toLong()
        return time != null && latestStart < time
    }

    /**
     * All cancellations that any other controller has told a user of before this time are known here; null if unknown.
     */
    fun confirmedAt(): Long? {
        var earliest = Long.MAX_VALUE
        for (peer in peers.values) earliest = minOf(earliest, peer.confirmedAt ?: return null)
        return earliest.takeIf { peers.isNotEmpty() }
    }

    /** Whether some other controller reports, and none of those that do hears the store: it is out for all. */
    fun noneReachesStore(now: Long): Boolean {
        val reporting = peers.values.filter { peer -> peer.askedAt?.let { now - it < REPORT_VALID_MS } ?: false }
        return reporting.isNotEmpty() && reporting.all { peer -> isCutOff(peer, now) }
    }

    private fun isCutOff(peer: Peer, now: Long): Boolean {
        val age = peer.storeAgeMs ?: return true
        return age + now - (peer.askedAt ?: now) > CUT_OFF_AFTER_MS
    }

    private companion object {
        const val MAX_OPEN_QUERIES = 16

        /** For how long after its query a report says anything about the present. */
        const val REPORT_VALID_MS = 4_000L

        /** The watches of a controller that hears the store complete an answer every one and a half seconds. */
        const val CUT_OFF_AFTER_MS = 4_500L
    }
}

package io.reedmast.cluster

import io.reedmast.ports.PeerMessage
import io.reedmast.settings.ControllerId

/**
 * What the other controllers report while this one does not hear the store.
 *
 * A controller tells a user of a cancellation only after recording it in its job index, and its report holds all that
 * are there. With a report of every other controller, asked for at some time, all cancellations that a user had been
 * told of by then are known here, although the store does not answer. A report counts only if that controller's process
 * was already running when this one last heard the store: what an earlier process of it confirmed since then is not in
 * the report.
 */
class PeerStatuses(private val self: ControllerId, members: Int, private val incarnation: String) {
    private class Peer {
        /** When the newest report was asked for. */
        var askedAt: Long? = null
        var storeAgeMs: Long? = null

        /** All cancellations confirmed by this controller before this time are known here. */
        var confirmedAt: Long? = null
    }

    private val peers: Map<ControllerId, Peer> = (0 until members).map {
        ControllerId(it)
    }.filter { it != self }.associateWith { Peer() }
    private val askedAt = object : LinkedHashMap<Long, Long>() {
        override fun removeEldestEntry(eldest: Map.Entry<Long, Long>) = size > MAX_OPEN_QUERIES
    }
    private var sequence = 0L

    /** A query to be sent to every other controller now. */
    fun query(now: Long): PeerMessage.StatusQuery {
        askedAt[++sequence] = now
        return PeerMessage.StatusQuery(self, incarnation, sequence)
    }

    /**
     * Takes up a report, whose cancellations have been noted already. [observedThrough] is the time up to which all
     * that was stored is known here.
     */
    fun heard(report: PeerMessage.StatusReport, now: Long, observedThrough: Long?) {
        val peer = peers[report.from] ?: return
        // A late copy, or the answer to a query of this controller's earlier process, names no query of ours.
        if (report.incarnation != incarnation) return
        val asked = askedAt[report.sequence] ?: return
        if (asked < (peer.askedAt ?: asked)) return
        peer.askedAt = asked
        peer.storeAgeMs = report.storeAgeMs
        val latestStart = now - (report.uptimeMs * (1 - CLOCK_DRIFT)).toLong()
        if (report.cancellations != null && observedThrough != null &&
            latestStart < observedThrough
        ) {
            peer.confirmedAt = asked
        }
    }

    /**
     * All cancellations that any other controller has told a user of before this time are known here; null if unknown.
     */
    fun confirmedAt(): Long? {
        var earliest = Long.MAX_VALUE
        for (peer in peers.values) earliest = minOf(earliest, peer.confirmedAt ?: return null)
        return earliest.takeIf { peers.isNotEmpty() }
    }

    /** Whether some controller reports, and none of those that report is better off: the store is out for all. */
    fun noneReachesStore(now: Long): Boolean {
        val reporting = peers.values.filter { peer -> peer.askedAt?.let { now - it < REPORT_VALID_MS } ?: false }
        return reporting.isNotEmpty() && reporting.all { peer -> isCutOff(peer, now) }
    }

    private fun isCutOff(peer: Peer, now: Long): Boolean {
        val age = peer.storeAgeMs ?: return true
        return age + now - (peer.askedAt ?: now) > OUT_OF_TOUCH_MS
    }

    private companion object {
        const val MAX_OPEN_QUERIES = 16
        const val REPORT_VALID_MS = 4_000L

        /** The watches of a controller in touch complete an answer every one and a half seconds. */
        const val OUT_OF_TOUCH_MS = 4_500L
    }
}

package io.reedmast.cluster

import io.reedmast.ports.Clock
import io.reedmast.ports.PeerMessage
import io.reedmast.ports.PeerTransport
import io.reedmast.settings.Settings

/** Applies and answers messages from the other controllers; any message may be lost, delayed or repeated. */
internal class PeerMessageHandler(
    private val settings: Settings,
    private val clock: Clock,
    private val peers: PeerTransport,
    tables: ClusterTables,
    private val failover: ShardFailover,
    private val peerStatuses: PeerStatuses,
) {
    private val staleness = tables.staleness
    private val jobs = tables.jobs
    private val machineDirectory = tables.machineDirectory
    private val machines = tables.machines
    private val startedAt = clock.now()
    private var queryDueAt = 0L

    /** Called when another controller has sent [message]. */
    fun onMessage(message: PeerMessage) = when (message) {
        is PeerMessage.ShardStatusUpdate -> {
            jobs.applyProgressUpdates(message.jobs)
            machineDirectory.applyHints(message.machines, machines::contains)
        }

        is PeerMessage.FailoverRequest -> failover.onFailoverRequest(message)

        is PeerMessage.ControllerStatusQuery -> peers.send(message.from, reportFor(message))

        is PeerMessage.ControllerStatusReport -> {
            message.cancellations?.forEach { jobs.applyCancellation(it) }
            peerStatuses.applyReport(message, clock.now(), staleness.observedThrough)
        }
    }

    private fun reportFor(query: PeerMessage.ControllerStatusQuery) = PeerMessage.ControllerStatusReport(
        from = settings.controllerId,
        incarnation = query.incarnation,
        sequence = query.sequence,
        uptimeMs = clock.now() - startedAt,
        storeViewAgeMs = staleness.ageMs(),
        cancellations = jobs.cancellations().takeIf { it.size <= PeerMessage.MAX_CANCELLATIONS },
    )

    /** Called periodically: queries the other controllers' statuses while the store does not answer this controller. */
    fun queryStatuses(now: Long) {
        val ageMs = staleness.ageMs() ?: return
        if (ageMs < QUERY_AFTER_MS || now < queryDueAt) return
        queryDueAt = now + QUERY_INTERVAL_MS
        peers.broadcast(peerStatuses.query(now))
    }

    private companion object {
        const val QUERY_AFTER_MS = 3_500L
        const val QUERY_INTERVAL_MS = 1_000L
    }
}

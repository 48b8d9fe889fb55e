package io.reedmast.machines

import io.reedmast.model.ShardState

/**
 * Detects that this controller has lost contact with its workers: nearly all of them are silent, and at least half have
 * become so within the last few heartbeat intervals.
 *
 * As this controller still holds its keys and reaches the store, no other controller can detect this as early, and the
 * workers' leases are short.
 */
internal class WorkerLossDetector(private val shardState: ShardState) {
    private var requestDueAt = 0L

    /**
     * Whether to request a failover now. [observationGapUntil] is the last time at which this controller was unable to
     * answer workers.
     */
    fun isFailoverDue(observationGapUntil: Long, now: Long): Boolean {
        if (now < requestDueAt || !areWorkersLost(observationGapUntil, now)) return false
        requestDueAt = now + REQUEST_INTERVAL_MS
        return true
    }

    private fun areWorkersLost(observationGapUntil: Long, now: Long): Boolean {
        val lateMs = shardState.heartbeatLateMs
        val observationMs = lateMs * OBSERVATION_HEARTBEATS
        if (now - maxOf(shardState.activeAt, observationGapUntil) < observationMs) return false
        val expected = shardState.machines.values.filter {
            it.isStateKnown && it.decommissionReason == null && !it.isContested
        }
        val lateCount = expected.count { now - it.lastHeartbeatAt > lateMs }
        val newlyLateCount = expected.count { now - it.lastHeartbeatAt in lateMs..observationMs }
        return expected.size >= MIN_EXPECTED_MACHINES &&
            lateCount >= expected.size * MIN_LATE_FRACTION &&
            newlyLateCount * 2 >= expected.size
    }

    private companion object {
        const val MIN_EXPECTED_MACHINES = 4
        const val MIN_LATE_FRACTION = 0.8

        /**
         * How long the shard must have been observed before silence is judged, and how recently a machine must have
         * sent a heartbeat to count as newly late, in multiples of the time after which a heartbeat is late.
         */
        const val OBSERVATION_HEARTBEATS = 3
        const val REQUEST_INTERVAL_MS = 2_000L
    }
}

package io.reedmast.machines

import io.reedmast.model.ShardState

/**
 * Detects that this controller has lost its workers, which nearly all of them falling silent within one heartbeat's
 * time shows.
 *
 * It still has its keys and hears the store, so nobody else can tell as soon, and the workers' leases are short.
 */
internal class WorkerLossDetector(private val shardState: ShardState) {
    private var requestDue = 0L

    /**
     * Whether a failover is to be requested now. [observationGapUntil] is when this controller last was unable to
     * answer workers.
     */
    fun isFailoverDue(observationGapUntil: Long, now: Long): Boolean {
        if (now < requestDue || !isLost(observationGapUntil, now)) return false
        requestDue = now + REQUEST_EVERY_MS
        return true
    }

    private fun isLost(observationGapUntil: Long, now: Long): Boolean {
        val lateMs = shardState.heartbeatLateMs
        val settledMs = lateMs * SETTLED_HEARTBEATS
        if (now - maxOf(shardState.activeAt, observationGapUntil) < settledMs) return false
        val expected = shardState.machines.values.filter {
            it.isStateKnown && it.decommissionReason == null && !it.isContested
        }
        val lateCount = expected.count { now - it.lastHeartbeatAt > lateMs }
        val newlyLateCount = expected.count { now - it.lastHeartbeatAt in lateMs..settledMs }
        return expected.size >= MIN_MACHINES_TO_JUDGE &&
            lateCount >= expected.size * NEARLY_ALL &&
            newlyLateCount * 2 >= expected.size
    }

    private companion object {
        const val MIN_MACHINES_TO_JUDGE = 4
        const val NEARLY_ALL = 0.8

        /** How many late heartbeats' time the shard has been observed before silence is judged. */
        const val SETTLED_HEARTBEATS = 3
        const val REQUEST_EVERY_MS = 2_000L
    }
}

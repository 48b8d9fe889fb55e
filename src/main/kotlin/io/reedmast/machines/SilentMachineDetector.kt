package io.reedmast.machines

import io.reedmast.model.DecommissionReason
import io.reedmast.model.Machine
import io.reedmast.model.ShardState
import org.slf4j.LoggerFactory
import java.util.concurrent.TimeUnit

/** Decommissions machines that have missed their heartbeats. */
internal class SilentMachineDetector(private val shardState: ShardState) {
    private val log = LoggerFactory.getLogger("shard")
    private val leaseMs = (shardState.settings.workers.leaseS * MS_PER_S).toLong()

    /** How long a machine may send no heartbeat before it counts as silent. */
    val silentAfterMs = (shardState.settings.workers.heartbeatIntervalS * MS_PER_S * MISSED_HEARTBEATS_LIMIT).toLong()

    /**
     * Decommissions the machines that have been silent for too long. [observationGapUntil] is the last time at which
     * this controller was unable to answer workers or to make decisions; silence before that proves nothing.
     */
    fun decommissionSilent(observationGapUntil: Long, now: Long) {
        // A machine that was up before this controller acquired the shard must report to this controller too; its
        // worker may first have to be sent this owner's token for that.
        val expected = shardState.machines.values.filter {
            !it.isContested && (it.everReported || it.placements.isNotEmpty())
        }
        val silent = expected.filter { now - silenceCountedFrom(it, observationGapUntil) > silentAfterMs }
        // If most machines are silent at once, it is more likely that this controller does not receive heartbeats.
        val areMostSilent = silent.size * 2 > expected.size && expected.size > 1
        val extraDelayMs = if (areMostSilent) leaseMs else 0L
        silent
            .filter { it.decommissionReason == null || it.decommissionReason == DecommissionReason.TRANSFER }
            .filter { now - maxOf(it.lastHeartbeatAt, shardState.activeAt) > silentAfterMs + extraDelayMs }
            .forEach { decommission(it, now) }
    }

    /** The time from which the silence of [machine] is counted. */
    private fun silenceCountedFrom(machine: Machine, observationGapUntil: Long) = maxOf(
        machine.lastHeartbeatAt,
        shardState.activeAt + silentAfterMs / 2,
        observationGapUntil + silentAfterMs,
    )

    private fun decommission(machine: Machine, now: Long) {
        log.info(
            "machine {}: no heartbeat for {} s, decommissioned",
            machine.name,
            TimeUnit.MILLISECONDS.toSeconds(now - machine.lastHeartbeatAt),
        )
        machine.decommissionReason = DecommissionReason.MISSED_HEARTBEATS
        shardState.lostMachinesByZone.getOrPut(machine.record.zone) { ArrayDeque() }.addLast(now)
    }

    private companion object {
        const val MS_PER_S = 1000.0
        const val MISSED_HEARTBEATS_LIMIT = 3.0
    }
}

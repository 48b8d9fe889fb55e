package io.reedmast.autoscaling

import io.reedmast.model.Machine
import io.reedmast.model.ShardState

/** Detects zones that seem to be cut off, by how many of a shard's machines have become silent there. */
internal class ZoneAvailability(private val shardState: ShardState) {
    /**
     * The zones in which more machines have recently become silent than still send heartbeats.
     *
     * Machines rented in such a zone could not be reached either. Once its silent machines have been returned, the zone
     * would nevertheless look like the one with the most capacity, since it has the fewest machines. [now] is in
     * milliseconds; machines that became silent more than [SILENCE_WINDOW_MS] earlier no longer count.
     */
    fun unavailableZones(now: Long): List<String> = shardState.lostMachinesByZone
        .filter { (zone, silentAt) ->
            while (silentAt.isNotEmpty() && now - silentAt.first() > SILENCE_WINDOW_MS) silentAt.removeFirst()
            silentAt.size >= MIN_SILENT_MACHINES && silentAt.size > reachableMachinesIn(zone, now)
        }
        .keys.toList()

    private fun reachableMachinesIn(zone: String, now: Long): Int =
        shardState.machines.values.count { it.record.zone == zone && isReachable(it, now) }

    private fun isReachable(machine: Machine, now: Long): Boolean =
        machine.isStateKnown && now - machine.lastHeartbeatAt <= shardState.heartbeatLateMs

    private companion object {
        const val SILENCE_WINDOW_MS = 45_000L
        const val MIN_SILENT_MACHINES = 4
    }
}

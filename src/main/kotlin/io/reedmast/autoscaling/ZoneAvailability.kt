package io.reedmast.autoscaling

import io.reedmast.model.Machine
import io.reedmast.model.ShardState

/** Which zones seem to be cut off, by the machines of a shard that have become silent there. */
internal class ZoneAvailability(private val shardState: ShardState) {
    /**
     * The zones in which more machines have become silent lately than still send heartbeats. What is rented there
     * cannot be reached either, and with its machines returned such a zone would look like the one with the most
     * capacity. [now] is in milliseconds; what was recorded too long before it is forgotten.
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

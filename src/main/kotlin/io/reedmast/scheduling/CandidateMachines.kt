package io.reedmast.scheduling

import io.reedmast.model.Machine

/**
 * Those of [machines] on which a pass may place work.
 *
 * Machines whose heartbeat is late are left out, since they may be gone or hung. If most heartbeats are late, the fault
 * is taken to be this controller's, and no machine is left out for that.
 */
internal fun candidateMachines(machines: Collection<Machine>, heartbeatLateMs: Long, nowMs: Long): List<Machine> {
    val usable = machines.filter { it.isInService }
    val withTimelyHeartbeat = usable.filter { nowMs - it.lastHeartbeatAt <= heartbeatLateMs }
    return if (withTimelyHeartbeat.size * 2 >= usable.size) withTimelyHeartbeat else usable
}

/** Whether work may be placed on the machine, and the cloud has not announced that it will reclaim it. */
internal val Machine.isInService: Boolean get() = usable && reclaimAt == 0L

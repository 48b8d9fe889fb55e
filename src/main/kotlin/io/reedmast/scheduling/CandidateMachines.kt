package io.reedmast.scheduling

import io.reedmast.model.Machine

/**
 * Those of [machines] on which a pass may place work.
 *
 * Machines whose heartbeat is late may be gone or hang; unless most are late, which would be this controller's fault.
 */
internal fun candidateMachines(machines: Collection<Machine>, heartbeatLateMs: Long, nowMs: Long): List<Machine> {
    val usable = machines.filter { it.isInService }
    val withTimelyHeartbeat = usable.filter { nowMs - it.lastHeartbeatAt <= heartbeatLateMs }
    return if (withTimelyHeartbeat.size * 2 >= usable.size) withTimelyHeartbeat else usable
}

/** Whether the machine takes work, and the cloud has not announced that it takes the machine back. */
internal val Machine.isInService: Boolean get() = usable && noticeUntil == 0L

package io.reedmast.commands

import io.reedmast.model.Machine
import io.reedmast.model.ShardState

/** Decides whether a machine's worker may be called directly now. */
internal class DirectCallPolicy(private val shardState: ShardState) {
    /** Whether commands may be sent to [machine] now; otherwise they go out with the answers to its heartbeats. */
    fun mayCall(machine: Machine): Boolean = machine.isStateKnown &&
        machine.pendingDirectCalls < MAX_PENDING_DIRECT_CALLS &&
        shardState.isCurrent() &&
        !seemsUnreachable(machine)

    /**
     * Whether a call to the machine would probably only block a thread for seconds: the machine has left a command
     * unanswered since its last heartbeat, or its next heartbeat is late. Without this check, a few dozen hung machines
     * would delay the commands to all others.
     */
    private fun seemsUnreachable(machine: Machine) = machine.unansweredDirectCallAt >= machine.lastHeartbeatAt ||
        shardState.clock.now() - machine.lastHeartbeatAt > shardState.heartbeatLateMs

    private companion object {
        /** How many direct calls to one worker may be pending at once. */
        const val MAX_PENDING_DIRECT_CALLS = 3
    }
}

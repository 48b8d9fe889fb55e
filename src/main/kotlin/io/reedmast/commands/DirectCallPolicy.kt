package io.reedmast.commands

import io.reedmast.model.Machine
import io.reedmast.model.ShardState

/** Decides whether a machine's worker may be called directly now. */
internal class DirectCallPolicy(private val shardState: ShardState) {
    /** Whether commands may be sent to [machine]; what is not sent now goes out with the answers to its heartbeats. */
    fun mayCall(machine: Machine): Boolean = machine.isStateKnown &&
        machine.pendingDirectCalls < MAX_PENDING_DIRECT_CALLS &&
        shardState.isCurrent() &&
        !seemsUnreachable(machine)

    /**
     * Whether calling the machine would only hold a thread for seconds: it left a command unanswered since its last
     * heartbeat, or its heartbeat is late. A few dozen hung machines would otherwise hold up the commands to all
     * others.
     */
    private fun seemsUnreachable(machine: Machine) = machine.unansweredDirectCallAt >= machine.lastHeartbeatAt ||
        shardState.clock.now() - machine.lastHeartbeatAt > shardState.heartbeatLateMs

    private companion object {
        /** How many direct calls to one worker may be unanswered at once. */
        const val MAX_PENDING_DIRECT_CALLS = 3
    }
}

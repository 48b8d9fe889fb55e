package io.reedmast.commands

import io.reedmast.model.Machine
import io.reedmast.model.ShardState

/** Why a machine's worker is not called directly now. */
internal enum class CallRefusal {
    /** The worker has not shown this owner's token yet. */
    STATE_UNKNOWN,

    /** Several calls to the worker have not been answered yet. */
    CALLS_PENDING,

    /** This controller's view of the store is too old to act on. */
    STORE_VIEW_OLD,

    /** A call would probably only block a thread: see [DirectCallPolicy]. */
    SEEMS_UNREACHABLE,
}

/** Decides whether a machine's worker may be called directly now. */
internal class DirectCallPolicy(private val shardState: ShardState) {
    /**
     * Why no commands may be sent to [machine] now, so that they wait for the answers to its heartbeats; null if they
     * may be sent.
     */
    fun refusalFor(machine: Machine): CallRefusal? = when {
        !machine.isStateKnown -> CallRefusal.STATE_UNKNOWN
        machine.pendingDirectCalls >= MAX_PENDING_DIRECT_CALLS -> CallRefusal.CALLS_PENDING
        !shardState.isCurrent() -> CallRefusal.STORE_VIEW_OLD
        seemsUnreachable(machine) -> CallRefusal.SEEMS_UNREACHABLE
        else -> null
    }

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

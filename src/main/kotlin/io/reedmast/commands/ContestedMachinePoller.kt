package io.reedmast.commands

import io.reedmast.model.Machine
import io.reedmast.model.RecordConflict
import io.reedmast.model.ShardState
import io.reedmast.ports.WorkerTransport
import io.reedmast.wire.Reply

/**
 * Polls the workers that another shard's owner answers for what is on their machines, as long as this shard has
 * placements there.
 *
 * The call carries token 0 and epoch 0, which no worker has: nothing is executed, and the refusal contains the worker's
 * newest status (PROTOCOL, POST /do).
 */
internal class ContestedMachinePoller(
    private val shardState: ShardState,
    private val workers: WorkerTransport,
    private val replies: DirectReplyHandler,
) {
    private val lastPolledAt = HashMap<String, Long>()
    private val intervalMs = (shardState.settings.workers.heartbeatIntervalS * MS_PER_S).toLong()

    /** Calls the workers that are due. Called periodically. */
    fun runOnce(now: Long) {
        val answeredElsewhere = shardState.machines.values.filter {
            it.recordConflict == RecordConflict.ANSWERED_ELSEWHERE
        }
        lastPolledAt.keys.retainAll(answeredElsewhere.mapTo(HashSet()) { it.name })
        answeredElsewhere.filter { it.placements.isNotEmpty() && now - (lastPolledAt[it.name] ?: 0L) >= intervalMs }
            .take(MAX_CALLS_PER_RUN)
            .forEach { poll(it, now) }
    }

    private fun poll(machine: Machine, now: Long) {
        val addr = machine.addr ?: return
        lastPolledAt[machine.name] = now
        workers.call(addr, 0L, 0L, emptyList()) { reply ->
            if (reply is Reply.Answer) replies.onReply(machine, reply, sent = emptyList())
        }
    }

    private companion object {
        const val MS_PER_S = 1000.0
        const val MAX_CALLS_PER_RUN = 16
    }
}

package io.reedmast.commands

import io.reedmast.model.Machine
import io.reedmast.model.RecordConflict
import io.reedmast.model.ShardState
import io.reedmast.wire.MalformedException
import io.reedmast.wire.Reply
import io.reedmast.wire.WorkerCommand
import io.reedmast.wire.WorkerStatus
import org.slf4j.LoggerFactory
import java.net.HttpURLConnection.HTTP_CONFLICT
import java.net.HttpURLConnection.HTTP_OK

/**
 * Handles the replies to direct calls: a worker replies with its newest status to each call that it executed or refused
 * (PROTOCOL, POST /do).
 */
internal class DirectReplyHandler(
    private val shardState: ShardState,
    private val queue: CommandQueue,
    private val cancelledTaskStops: CancelledTaskStops,
    /** Applies the status in the reply to a direct call to the machine. */
    private val onStatusReport: (Machine, WorkerStatus) -> Unit,
) {
    private val log = LoggerFactory.getLogger("shard")

    /**
     * Applies the status in [reply], unless it is that of another machine, which now has the address of [machine], and
     * queues the stops of cancelled tasks in it that [sent], the commands of the call, lack.
     *
     * Returns the status, also that of another machine; null if another owner has acquired the shard, or if the reply
     * contains no status that can be read.
     */
    fun onReply(machine: Machine, reply: Reply.Answer, sent: List<WorkerCommand>): WorkerStatus? {
        if (shardState.dropped || (reply.status != HTTP_OK && reply.status != HTTP_CONFLICT)) return null
        return try {
            WorkerStatus.parse(reply.body).also { if (it.machineName == machine.name) apply(machine, it, sent) }
        } catch (e: MalformedException) {
            log.error("machine {}: malformed reply to a direct call: {}", machine.name, e.message)
            null
        }
    }

    private fun apply(machine: Machine, status: WorkerStatus, sent: List<WorkerCommand>) {
        onStatusReport(machine, status)
        // A worker that another shard's owner answers refuses this owner's commands.
        if (machine.recordConflict == RecordConflict.ANSWERED_ELSEWHERE) return
        cancelledTaskStops.missingFrom(sent, status).forEach { queue.add(machine, it) }
    }
}

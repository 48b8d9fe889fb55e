package io.reedmast.commands

import io.reedmast.model.Machine
import io.reedmast.model.ShardState
import io.reedmast.wire.MalformedException
import io.reedmast.wire.Reply
import io.reedmast.wire.WorkerStatus
import org.slf4j.LoggerFactory
import java.net.HttpURLConnection.HTTP_CONFLICT
import java.net.HttpURLConnection.HTTP_OK

/**
 * Replies to direct calls: each call that was executed or refused is answered with the worker's newest status
 * (PROTOCOL, POST /do).
 */
internal class DirectReplyHandler(
    private val shardState: ShardState,
    /** Applies the status that a call to the machine was answered with. */
    private val onStatusReport: (Machine, WorkerStatus) -> Unit,
) {
    private val log = LoggerFactory.getLogger("shard")

    /**
     * Applies the status that [reply] carries, unless it is another machine's, which has got the address of [machine].
     *
     * Returns the status; null if the shard has changed hands, or there is none that can be read.
     */
    fun onReply(machine: Machine, reply: Reply.Answer): WorkerStatus? {
        if (shardState.dropped || (reply.status != HTTP_OK && reply.status != HTTP_CONFLICT)) return null
        return try {
            WorkerStatus.parse(reply.body).also { if (it.machineName == machine.name) onStatusReport(machine, it) }
        } catch (e: MalformedException) {
            log.error("machine {}: malformed answer: {}", machine.name, e.message)
            null
        }
    }
}

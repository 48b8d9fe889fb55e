package io.reedmast.sim

import io.reedmast.wire.BodyCodec
import io.reedmast.wire.MessageSizes
import io.reedmast.wire.WorkerCommand
import io.reedmast.wire.WorkerReplies
import io.reedmast.wire.WorkerStatus

/** Checks that messages to and from workers stay within the size that the protocol allows (PROTOCOL, first section). */
internal class MessageSizeRule(private val addViolation: (String) -> Unit) {
    /** Checks the status that a worker sends. */
    fun checkStatus(status: WorkerStatus) {
        if (status.tasks.size > MAX_UNCHECKED) check("status of ${status.machineName}", statusBytes(status))
    }

    /** Checks the commands that are sent to a worker in one message. */
    fun checkCommands(worker: String, token: Long, commands: List<WorkerCommand>) {
        if (commands.size <= MAX_UNCHECKED) return
        check("commands to $worker", BodyCodec.jsonSize(WorkerReplies.directCall(token, 1L, commands)))
    }

    private fun check(what: String, bytes: Int) {
        if (bytes > MessageSizes.MAX_BODY_BYTES) addViolation("too_large $what: $bytes bytes")
    }

    private fun statusBytes(status: WorkerStatus): Int = BodyCodec.jsonSize(
        mapOf(
            "host" to status.machineName,
            "addr" to status.addr,
            "build" to status.typeName,
            "yard" to status.zone,
            "driftwood" to status.spot,
            "tenure" to status.epoch,
            "tally" to status.sequence,
            "baton" to status.token,
            "warningS" to status.noticeS,
            "pieces" to status.tasks.map { task ->
                mapOf("piece" to task.id.toString(), "try" to task.attempt, "stage" to task.state.wireName) +
                    (task.cause?.let { mapOf("cause" to it.wireName) } ?: emptyMap())
            },
        ),
    )

    private companion object {
        /** Messages about fewer tasks are far below the limit. */
        const val MAX_UNCHECKED = 200
    }
}

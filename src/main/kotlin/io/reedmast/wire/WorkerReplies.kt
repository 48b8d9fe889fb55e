package io.reedmast.wire

/** Bodies of the messages to workers. */
object WorkerReplies {
    /** The answer to a heartbeat: commands under a fencing token. */
    fun heartbeatReply(token: Long, commands: List<WorkerCommand>): Fields = mapOf(
        "baton" to token,
        "orders" to commands.map { it.toFields() },
    )

    /** The answer to a heartbeat that belongs to another controller, [owner]; null: the owner is not known. */
    fun redirect(owner: String?): Fields = mapOf("steward" to owner)

    /** Commands that are sent directly to the worker's address, and hold for this [epoch] of the worker only. */
    fun directCall(token: Long, epoch: Long, commands: List<WorkerCommand>): Fields =
        heartbeatReply(token, commands) + ("tenure" to epoch)
}

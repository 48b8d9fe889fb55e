package io.reedmast.wire

/** The bodies that workers are sent. */
object WorkerReplies {
    /** The answer to a heartbeat: commands under a fencing token. */
    fun heartbeatReply(token: Long, commands: List<WorkerCommand>): Fields = mapOf(
        "baton" to token,
        "orders" to commands.map { it.toFields() },
    )

    /** The answer to a heartbeat that another controller should get; null: nobody knows which. */
    fun redirect(owner: String?): Fields = mapOf("steward" to owner)

    /** Commands that are sent to the worker's address, for this epoch of the worker alone. */
    fun directCall(token: Long, epoch: Long, commands: List<WorkerCommand>): Fields =
        heartbeatReply(token, commands) + ("tenure" to epoch)
}

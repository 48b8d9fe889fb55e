package io.reedmast.wire

/** A command to a worker about one attempt at a task. Every command can be sent again, but see [ForgetTask]. */
sealed interface WorkerCommand {
    val id: TaskId
    val attempt: Long

    /** Start the task, unless the worker has this attempt already, in any state. */
    data class StartTask(override val id: TaskId, override val attempt: Long) : WorkerCommand

    /** Stop the task; it may save its progress first if [graceS] seconds are enough for that. */
    data class StopTask(override val id: TaskId, override val attempt: Long, val graceS: Double) : WorkerCommand

    /** Remove an ended task from the heartbeats. A [StartTask] repeated after this starts the attempt again. */
    data class ForgetTask(override val id: TaskId, override val attempt: Long) : WorkerCommand

    /** The form in which workers receive the command. */
    fun toFields(): Fields = when (this) {
        is StartTask -> mapOf("verb" to "launch", "piece" to id.toString(), "try" to attempt)
        is StopTask -> mapOf("verb" to "stop", "piece" to id.toString(), "try" to attempt, "mercyS" to graceS)
        is ForgetTask -> mapOf("verb" to "forget", "piece" to id.toString(), "try" to attempt)
    }
}

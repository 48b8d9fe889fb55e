package io.reedmast.wire

/**
 * Sizes of messages to and from workers, in bytes of their JSON form, in which the protocol states its limits
 * (PROTOCOL, first section). What is computed here are upper bounds, without encoding anything.
 */
object MessageSizes {
    /** The largest body of a request, and of an answer to a worker or a user. */
    const val MAX_BODY_BYTES = 64 * 1024

    /** Reserved for the fields of a status other than its tasks: names, each limited in length, and counts. */
    private const val STATUS_HEADER_BYTES = 2 * 1024

    /** What the tasks in a worker's status may take together. */
    const val MAX_REPORTED_TASKS_BYTES = MAX_BODY_BYTES - STATUS_HEADER_BYTES

    /** Reserved for the token and the epoch that stand beside commands. */
    private const val COMMANDS_HEADER_BYTES = 256

    /** What the commands in one message to a worker may take together. */
    const val MAX_COMMANDS_BYTES = MAX_BODY_BYTES - COMMANDS_HEADER_BYTES

    private const val MAX_TASK_DIGITS = 5
    private const val LONGEST_REPORTED_TASK =
        """{"piece":"/","try":9223372036854775807,"stage":"ended","cause":"no_room"},"""
    private const val STORED_FIELD = ""","stored":true"""
    private const val LONGEST_COMMAND =
        """{"verb":"launch","piece":"/","try":9223372036854775807,"mercyS":1234567890.1234567},"""

    /**
     * The most that one task of the job takes in a worker's status, whatever becomes of it. Only a task that [maySave]
     * its progress is reported with whether it did.
     */
    fun reportedTaskBytes(jobId: String, maySave: Boolean): Int {
        val storedFieldBytes = if (maySave) STORED_FIELD.length else 0
        return LONGEST_REPORTED_TASK.length + storedFieldBytes + jobId.length + MAX_TASK_DIGITS
    }

    /** The most that one command about a task of the job takes. */
    fun commandBytes(jobId: String): Int = LONGEST_COMMAND.length + jobId.length + MAX_TASK_DIGITS
}

/** The most that one task of this job takes in a worker's status, in bytes. */
val JobSpec.reportedTaskBytes: Int get() = MessageSizes.reportedTaskBytes(jobId, resumable)

/** The most that this command takes in a message, in bytes. */
val WorkerCommand.maxBytes: Int get() = MessageSizes.commandBytes(id.jobId)

/** As many of the commands, from the first on, as fit into one message. */
fun List<WorkerCommand>.fittingOneMessage(): List<WorkerCommand> {
    var freeBytes = MessageSizes.MAX_COMMANDS_BYTES
    return takeWhile { command ->
        freeBytes -= command.maxBytes
        freeBytes >= 0
    }
}

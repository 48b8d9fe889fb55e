package io.reedmast.wire

/** The state of one task on a worker. */
enum class TaskState(val wire: String) {
    FETCHING("fetching"),

    /** A task of a gang that waits for the other tasks of its attempt. */
    WAITING("waiting"),
    RUNNING("running"),
    SAVING("saving"),
    ENDED("ended"),
}

/** Why a task ended, as far as the difference matters to a controller. */
enum class Cause(val wire: String) {
    DONE("done"),
    HALTED("halted"),
    ERROR("error"),
    NO_ROOM("no_room"),
    BUSY("busy"),
    UNKNOWN("unknown"),

    /** Another task of the gang is gone. */
    PEERS("peers"),

    /** The gang was not complete in time. */
    ALONE("alone"),
}

/** One task of one job: `wk-000412/3`. */
data class TaskId(val jobId: String, val task: Int) {
    override fun toString(): String = "$jobId/$task"

    companion object {
        fun parse(text: String): TaskId {
            val slash = text.lastIndexOf('/')
            val task = if (slash > 0) text.substring(slash + 1).toIntOrNull() else null
            if (task == null || task < 0) throw MalformedException("piece is not of the form job/number: $text")
            return TaskId(text.substring(0, slash), task)
        }
    }
}

data class TaskStatus(val id: TaskId, val attempt: Long, val state: TaskState, val cause: Cause?)

/** A worker's report, from `/checkin`, `/do` or `/status`. */
data class WorkerStatus(
    val machineName: String,
    val addr: String,
    val typeName: String,
    val zone: String,
    val spot: Boolean,
    val epoch: Long,
    val sequence: Long,
    val token: Long,
    val noticeS: Double?,
    val tasks: List<TaskStatus>,
) {
    companion object {
        fun parse(fields: Fields): WorkerStatus = WorkerStatus(
            machineName = fields.text("host"),
            addr = fields.text("addr"),
            typeName = fields.text("build"),
            zone = fields.text("yard"),
            spot = fields.optionalFlag("driftwood"),
            epoch = fields.count("tenure"),
            sequence = fields.count("tally"),
            token = fields.count("baton"),
            noticeS = fields.optionalAmount("warningS"),
            tasks = fields.maps("pieces").map { piece(it) },
        )

        private fun piece(fields: Fields): TaskStatus {
            val stateName = fields.text("stage")
            // A state nobody told us of: the task is on the machine, and not known to run.
            val state = TaskState.entries.firstOrNull { it.wire == stateName } ?: TaskState.FETCHING
            val causeName = fields.optionalText("cause")
            return TaskStatus(
                TaskId.parse(fields.text("piece")),
                fields.count("try"),
                state,
                // A cause nobody told us of still means that the attempt is over without a result.
                if (state ==
                    TaskState.ENDED
                ) {
                    Cause.entries.firstOrNull { it.wire == causeName } ?: Cause.ERROR
                } else {
                    null
                },
            )
        }
    }
}

/** The bodies that workers are sent. */
object WorkerReplies {
    /** The answer to a report: commands under a token. */
    fun heartbeatReply(token: Long, commands: List<WorkerCommand>): Fields = mapOf(
        "baton" to token,
        "orders" to commands.map { it.toFields() },
    )

    /** The answer to a report that another controller should get; null: nobody knows which. */
    fun redirect(owner: String?): Fields = mapOf("steward" to owner)

    /** A direct call. */
    fun directCall(token: Long, epoch: Long, commands: List<WorkerCommand>): Fields =
        heartbeatReply(token, commands) + ("tenure" to epoch)
}

/** A command to a worker. */
sealed interface WorkerCommand {
    val id: TaskId
    val attempt: Long

    data class StartTask(override val id: TaskId, override val attempt: Long) : WorkerCommand

    data class StopTask(override val id: TaskId, override val attempt: Long, val graceS: Double) : WorkerCommand

    data class ForgetTask(override val id: TaskId, override val attempt: Long) : WorkerCommand

    fun toFields(): Fields = when (this) {
        is StartTask -> mapOf("verb" to "launch", "piece" to id.toString(), "try" to attempt)
        is StopTask -> mapOf("verb" to "stop", "piece" to id.toString(), "try" to attempt, "mercyS" to graceS)
        is ForgetTask -> mapOf("verb" to "forget", "piece" to id.toString(), "try" to attempt)
    }
}

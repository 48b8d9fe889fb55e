package io.reedmast.wire

/**
 * A worker's status, from a heartbeat (`/checkin`) or from its answer to `/do` or `/status`.
 *
 * @property epoch the worker's incarnation: starts at 1, and increases each time its lease expires.
 * @property sequence increases with every status; the one with the larger ([epoch], [sequence]) is the newer one.
 * @property token the highest fencing token that the worker has seen.
 * @property noticeS seconds until the cloud reclaims the machine; null: it has given no notice.
 * @property tasks all tasks on the machine, including ended ones until a [WorkerCommand.ForgetTask] removes them.
 */
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
        /** Reads a status; throws [MalformedException] if it is not valid. */
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
            tasks = fields.maps("pieces").map { TaskStatus.parse(it) },
        )
    }
}

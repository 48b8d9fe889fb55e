package io.reedmast.wire

/** What a worker reports of one attempt at a task; [cause] is null unless the attempt has ended. */
data class TaskStatus(val id: TaskId, val attempt: Long, val state: TaskState, val cause: TaskEndCause?) {
    companion object {
        /** Reads one task of a heartbeat; throws [MalformedException] if it is not valid. */
        internal fun parse(fields: Fields): TaskStatus {
            val state = state(fields.text("stage"))
            val cause = cause(fields.optionalText("cause"))
            return TaskStatus(
                id = TaskId.parse(fields.text("piece")),
                attempt = fields.count("try"),
                state = state,
                cause = if (state == TaskState.ENDED) cause else null,
            )
        }

        /** An unknown state is read as one of a task that is on the machine but not known to run. */
        private fun state(name: String) = TaskState.entries.firstOrNull { it.wireName == name } ?: TaskState.FETCHING

        /** An unknown cause is read as an error: the attempt is over without a result in any case. */
        private fun cause(name: String?) =
            TaskEndCause.entries.firstOrNull { it.wireName == name } ?: TaskEndCause.ERROR
    }
}

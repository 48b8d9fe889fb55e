package io.reedmast.wire

/** One task of one job: `wk-000412/3`; [task] counts from 0. */
data class TaskId(val jobId: String, val task: Int) {
    override fun toString(): String = "$jobId/$task"

    companion object {
        /** Parses the form that [TaskId.toString] returns; throws [MalformedException] for anything else. */
        fun parse(text: String): TaskId {
            val slash = text.lastIndexOf('/')
            val task = if (slash > 0) text.substring(slash + 1).toIntOrNull() else null
            if (task == null || task < 0) throw MalformedException("piece is not of the form job/number: $text")
            return TaskId(text.substring(0, slash), task)
        }
    }
}

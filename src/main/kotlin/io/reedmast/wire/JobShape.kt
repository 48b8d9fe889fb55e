package io.reedmast.wire

/** How the tasks of a job run in relation to each other; [wireName] is the name in messages and records. */
enum class JobShape(val wireName: String) {
    /** Independent tasks, each of which runs to completion. */
    ARRAY("array"),

    /** Replicas that run until the job is cancelled. */
    SERVICE("service"),

    /** All tasks run at the same time, or none does; they complete together. */
    GANG("gang"),
    ;

    companion object {
        /** The shape called [text] in messages; throws [MalformedException] if there is none. */
        fun of(text: String): JobShape =
            entries.firstOrNull { it.wireName == text } ?: throw MalformedException("shape is unknown: $text")
    }
}

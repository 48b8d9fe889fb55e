package io.reedmast.jobs

import io.reedmast.wire.Fields
import io.reedmast.wire.JobState
import io.reedmast.wire.MalformedException
import io.reedmast.wire.count

/** The record of a job that has ended; it is never deleted. */
class FinalRecord(val state: JobState, val taskCount: Int) {
    /** The stored form. */
    fun toFields(): Fields = mapOf("state" to state.wireName, "tasks" to taskCount)

    companion object {
        /** Reads the stored form; throws [MalformedException] for anything else. */
        fun parse(fields: Fields) = FinalRecord(
            JobState.entries.firstOrNull { it.isFinal && it.wireName == fields["state"] }
                ?: throw MalformedException("state is unknown"),
            fields.count("tasks").toInt(),
        )
    }
}

package io.reedmast.jobs

import io.reedmast.wire.Fields
import io.reedmast.wire.JobSpec
import io.reedmast.wire.JobState
import io.reedmast.wire.MalformedException
import io.reedmast.wire.count
import io.reedmast.wire.map
import io.reedmast.wire.optionalFlag

/** The record of an unfinished job, under its shard. Whoever cancels the job rewrites it. */
class LiveRecord(val spec: JobSpec, val chunkSize: Int, val acceptedAtMs: Long, val isCancelled: Boolean) {
    fun toFields(): Fields {
        val fields = mapOf("spec" to spec.toFields(), "chunk" to chunkSize, "at" to acceptedAtMs)
        return if (isCancelled) fields + ("aborted" to true) else fields
    }

    fun cancelled() = LiveRecord(spec, chunkSize, acceptedAtMs, true)

    companion object {
        fun parse(fields: Fields) = LiveRecord(
            JobSpec.parse(fields.map("spec")),
            maxOf(1, fields.count("chunk").toInt()),
            fields.count("at"),
            fields.optionalFlag("aborted"),
        )
    }
}

/** The record of a job that is over, kept for good. */
class EndRecord(val state: JobState, val taskCount: Int) {
    fun toFields(): Fields = mapOf("state" to state.wire, "tasks" to taskCount)

    companion object {
        fun parse(fields: Fields) = EndRecord(
            JobState.entries.firstOrNull { it.isFinal && it.wire == fields["state"] }
                ?: throw MalformedException("state is unknown"),
            fields.count("tasks").toInt(),
        )
    }
}

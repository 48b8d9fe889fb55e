package io.reedmast.jobs

import io.reedmast.wire.Fields
import io.reedmast.wire.JobSpec
import io.reedmast.wire.MalformedException
import io.reedmast.wire.count
import io.reedmast.wire.map
import io.reedmast.wire.optionalFlag

/**
 * The record of an unfinished job, stored under its shard. It is rewritten when the job is cancelled.
 *
 * @property chunkSize how many tasks each chunk of stored progress covers.
 * @property acceptedAtMs wall time at which the job was accepted.
 */
class LiveRecord(val spec: JobSpec, val chunkSize: Int, val acceptedAtMs: Long, val isCancelled: Boolean) {
    /** The stored form. */
    fun toFields(): Fields {
        val fields = mapOf("spec" to spec.toFields(), "chunk" to chunkSize, "at" to acceptedAtMs)
        return if (isCancelled) fields + ("aborted" to true) else fields
    }

    /** The same job, cancelled. */
    fun cancelled() = LiveRecord(spec, chunkSize, acceptedAtMs, true)

    companion object {
        /** Reads the stored form; throws [MalformedException] for anything else. */
        fun parse(fields: Fields) = LiveRecord(
            JobSpec.parse(fields.map("spec")),
            maxOf(1, fields.count("chunk").toInt()),
            fields.count("at"),
            fields.optionalFlag("aborted"),
        )
    }
}

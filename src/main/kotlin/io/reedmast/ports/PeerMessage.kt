package io.reedmast.ports

import io.reedmast.settings.ControllerId
import io.reedmast.settings.ShardId

/** How far a job is, as its shard's owner knows it: how many of its tasks are [done], and how many are [running]. */
data class JobProgress(val jobId: String, val done: Int, val running: Int)

/** A job that its user has cancelled and that is not over yet, with the version of the record that says so. */
data class Cancellation(val jobId: String, val version: Long)

/** A message between controllers. Every one of them may be lost, delayed or repeated without harm. */
sealed interface PeerMessage {
    /** What an owner publishes of its shard's jobs, for display, and of its machines, as hints for a failover. */
    data class ShardStatusUpdate(val jobs: List<JobProgress>, val machines: List<MachineHint>) : PeerMessage

    /**
     * The owner of [shard] under [term] gets heartbeats of nearly none of its workers: another controller should
     * acquire it.
     */
    data class FailoverRequest(val shard: ShardId, val term: Long) : PeerMessage

    /**
     * Asks for a [ControllerStatusReport].
     *
     * [incarnation] is of the asking process and never used again, so that an answer to an earlier process is told
     * apart.
     */
    data class ControllerStatusQuery(val from: ControllerId, val incarnation: String, val sequence: Long) : PeerMessage

    /** The answer of controller [from] to the query with this [incarnation] and [sequence]. */
    data class ControllerStatusReport(
        val from: ControllerId,
        val incarnation: String,
        val sequence: Long,
        /** How long the answering process has been running, in milliseconds. */
        val uptimeMs: Long,
        /** How many milliseconds ago it last had answers of the store on both watches; null if it never did. */
        val storeViewAgeMs: Long?,
        /**
         * All cancellations that it may have confirmed to a user, of jobs that are not over; null if there are too
         * many.
         */
        val cancellations: List<Cancellation>?,
    ) : PeerMessage

    companion object {
        /** The most cancellations that a [ControllerStatusReport] names, well within one frame. */
        const val MAX_CANCELLATIONS = 2_000
    }
}

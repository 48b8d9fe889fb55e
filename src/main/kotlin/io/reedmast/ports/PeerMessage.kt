package io.reedmast.ports

import io.reedmast.settings.ControllerId
import io.reedmast.settings.ShardId

/** The progress of a job as its shard's owner knows it: how many tasks are [done], and how many are [running]. */
data class JobProgress(val jobId: String, val done: Int, val running: Int)

/** A job that its user has cancelled and that is not over yet; [version] is that of the record of the cancellation. */
data class Cancellation(val jobId: String, val version: Long)

/** A message between controllers. Any message may be lost, delayed or repeated without harm. */
sealed interface PeerMessage {
    /** What an owner publishes about its shard's jobs, for display, and about its machines, as hints for a failover. */
    data class ShardStatusUpdate(val jobs: List<JobProgress>, val machines: List<MachineHint>) : PeerMessage

    /**
     * Another controller should acquire [shard], because its owner under [term] gets heartbeats from nearly none of its
     * workers, or is being drained.
     */
    data class FailoverRequest(val shard: ShardId, val term: Long) : PeerMessage

    /**
     * Asks for a [ControllerStatusReport].
     *
     * [incarnation] identifies the asking process and is never used again, so that answers to an earlier process can be
     * told apart.
     */
    data class ControllerStatusQuery(val from: ControllerId, val incarnation: String, val sequence: Long) : PeerMessage

    /** The answer of controller [from] to the query with this [incarnation] and [sequence]. */
    data class ControllerStatusReport(
        val from: ControllerId,
        val incarnation: String,
        val sequence: Long,
        /** How long the answering process has been running, in milliseconds. */
        val uptimeMs: Long,
        /** How many milliseconds ago it last had answers from the store on both watches; null if it never did. */
        val storeViewAgeMs: Long?,
        /**
         * All cancellations of jobs that are not over and that it may have confirmed to a user; null if there are too
         * many.
         */
        val cancellations: List<Cancellation>?,
    ) : PeerMessage

    companion object {
        /** The most cancellations that a [ControllerStatusReport] contains; they fit well within one frame. */
        const val MAX_CANCELLATIONS = 2_000
    }
}

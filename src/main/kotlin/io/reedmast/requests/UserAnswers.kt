package io.reedmast.requests

import io.reedmast.jobs.FinalRecord
import io.reedmast.jobs.LiveJob
import io.reedmast.wire.JobState
import io.reedmast.wire.JobStatus
import io.reedmast.wire.UserAnswer

/** The answers that users get, with their status codes and error texts (PROTOCOL, "Users -> controller nodes"). */
internal object UserAnswers {
    private const val OK = 200
    private const val CREATED = 201
    private const val NOT_FOUND = 404
    private const val CONTENT_TOO_LARGE = 413
    private const val UNPROCESSABLE = 422
    private const val TOO_MANY_REQUESTS = 429
    private const val UNAVAILABLE = 503
    private const val RETRY_AFTER_S = 1

    /** The job has just been accepted. */
    fun accepted(jobId: String) = UserAnswer(CREATED, JobStatus(jobId, JobState.QUEUED))

    /** The job has ended. */
    fun ended(jobId: String, finalRecord: FinalRecord): UserAnswer {
        val done = if (finalRecord.state == JobState.DONE) finalRecord.taskCount else 0
        return UserAnswer(OK, JobStatus(jobId, finalRecord.state, done, running = 0))
    }

    /** The job is cancelled, although some of its tasks may still be stopping. */
    fun cancelled(jobId: String) = ended(jobId, FinalRecord(JobState.CANCELLED, 0))

    /**
     * The state of an unfinished job, with counts for display. A job whose owner has published no counts is shown as
     * queued, which may be out of date but is never ahead of the actual state.
     */
    fun unfinished(jobId: String, job: LiveJob): UserAnswer {
        val state = if (job.running > 0) JobState.RUNNING else JobState.QUEUED
        return UserAnswer(OK, JobStatus(jobId, state, job.done, job.running))
    }

    /** No such job has been submitted. */
    fun unknown() = UserAnswer(NOT_FOUND, error = "no such job")

    /** The submission is rejected permanently. */
    fun rejected(reason: String) = UserAnswer(UNPROCESSABLE, error = reason)

    /** The store refused the job's record because of its size. */
    fun tooLarge() = UserAnswer(CONTENT_TOO_LARGE, error = "the job's description is too large")

    /** Too many submissions are waiting for the store. */
    fun overloaded() = UserAnswer(TOO_MANY_REQUESTS, error = "overloaded", retryAfterS = RETRY_AFTER_S)

    /** This controller cannot answer now; the same or another controller can later. */
    fun undecided() = UserAnswer(UNAVAILABLE, error = "cannot decide yet", retryAfterS = RETRY_AFTER_S)
}

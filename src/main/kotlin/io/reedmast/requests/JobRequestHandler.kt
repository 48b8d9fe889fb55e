package io.reedmast.requests

import io.reedmast.cluster.Cluster
import io.reedmast.jobs.LiveJob
import io.reedmast.jobs.LiveRecord
import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.Write
import io.reedmast.kvstore.WritePriority
import io.reedmast.persistence.PageFormat
import io.reedmast.ports.Clock
import io.reedmast.ports.KeyValueStore
import io.reedmast.settings.Settings
import io.reedmast.settings.TeamId
import io.reedmast.wire.Fields
import io.reedmast.wire.JobSpec
import io.reedmast.wire.MachineType
import io.reedmast.wire.UserAnswer
import org.slf4j.LoggerFactory

/**
 * Handles submissions, polls and cancellations, on any controller.
 *
 * Whatever an answer to a user states has been stored before, and a poll waits until this controller knows everything
 * that was stored when the poll arrived. So every later answer, by any controller, agrees with the earlier ones. Each
 * request is answered exactly once.
 */
class JobRequestHandler(
    private val settings: Settings,
    private val clock: Clock,
    private val store: KeyValueStore,
    private val limits: EffectiveLimits,
    private val cluster: Cluster,
    machineTypes: () -> Map<String, MachineType>,
) {
    private val log = LoggerFactory.getLogger("jobs")
    private val jobs get() = cluster.jobs
    private val admission = AdmissionPolicy(settings, machineTypes) { cluster.ready && store.isAvailable }
    private val lookup = JobLookup(store, cluster)

    /** Accepts a job, or answers with the state of the one that was accepted under the same id before. */
    fun submit(spec: JobSpec, answer: (UserAnswer) -> Unit) {
        val finalRecord = jobs.ended[spec.jobId]
        when {
            finalRecord != null -> answer(UserAnswers.ended(spec.jobId, finalRecord))

            // Checked before anything that could refuse the submission: an accepted job may be submitted again at any
            // time.
            jobs.liveJob(spec.jobId) != null -> poll(spec.jobId, answer)

            else -> submitUnknown(spec, answer)
        }
    }

    /** Answers with the state of a job. */
    fun poll(jobId: String, answer: (UserAnswer) -> Unit) = lookup.find(jobId) { answer(answerTo(jobId, it)) }

    /** Cancels a job, which cannot be undone; a job that has ended keeps its state. */
    fun cancel(jobId: String, answer: (UserAnswer) -> Unit) = cancel(jobId, MAX_CANCELLATION_TRIES, answer)

    private fun answerTo(jobId: String, found: JobLookupResult): UserAnswer = when (found) {
        is JobLookupResult.Unfinished ->
            if (found.job.record.isCancelled) {
                UserAnswers.cancelled(jobId)
            } else {
                UserAnswers.unfinished(jobId, found.job)
            }

        is JobLookupResult.Ended -> UserAnswers.ended(jobId, found.finalRecord)

        JobLookupResult.Unknown -> UserAnswers.unknown()

        JobLookupResult.Unavailable -> UserAnswers.undecided()
    }

    /** Submits a job that this controller does not know, although it may have been accepted before. */
    private fun submitUnknown(spec: JobSpec, answer: (UserAnswer) -> Unit) {
        when (val decision = admission.decide(spec)) {
            is AdmissionDecision.Admitted -> storeJob(spec, decision.team, answer)
            is AdmissionDecision.Rejected -> reject(spec.jobId, decision.reason, answer)
            AdmissionDecision.Undecided -> answer(UserAnswers.undecided())
        }
    }

    /**
     * Rejects the submission, unless the job was accepted before. That must be looked up first, since a process that
     * has just started, or has dropped an ended job from memory, does not know such a job.
     */
    private fun reject(jobId: String, reason: String, answer: (UserAnswer) -> Unit) = lookup.find(jobId) { found ->
        val isUnknown = found is JobLookupResult.Unknown
        answer(if (isUnknown) UserAnswers.rejected(reason) else answerTo(jobId, found))
    }

    private fun storeJob(spec: JobSpec, team: TeamId, answer: (UserAnswer) -> Unit) {
        val submittedAt = clock.now()
        val path = Keys.liveJob(settings.shardOf(team).value, spec.jobId)
        val record = newRecord(spec)
        val transaction = CasTransaction(
            // A delayed copy of a submission must not bring back a job that has ended: the absence of its final record
            // is a precondition too.
            listOf(Precondition(path, ABSENT), Precondition(Keys.endedJob(spec.jobId), ABSENT)),
            listOf(Write.Put(path, record)),
            WritePriority.USER,
        ) { outcome ->
            when (outcome) {
                is CommitOutcome.Applied -> {
                    logAccepted(spec)
                    jobs.applyRecord(path, record, outcome.revision)
                    answerAccepted(spec.jobId, submittedAt, answer)
                }

                is CommitOutcome.Conflict -> answerExisting(spec.jobId, answer)

                is CommitOutcome.Refused -> answer(UserAnswers.tooLarge())
            }
        }
        if (!store.commit(transaction, refusable = true)) answer(UserAnswers.overloaded())
    }

    private fun newRecord(spec: JobSpec): Fields {
        val chunkSize = PageFormat.chunkSizeFor(limits.target.valueBytes)
        return LiveRecord(spec, chunkSize, clock.wallTime(), isCancelled = false).toFields()
    }

    private fun logAccepted(spec: JobSpec) = log.info(
        "job {}: accepted, {} tasks of class {} for team {}",
        spec.jobId,
        spec.taskCount,
        spec.jobClass,
        spec.teamName,
    )

    /**
     * Answers a submission whose record is stored. If the store's answer was lost and the outcome was found out later,
     * the job may have been seen, cancelled and ended through other controllers in the meantime, so its present state
     * is the answer.
     */
    private fun answerAccepted(jobId: String, submittedAt: Long, answer: (UserAnswer) -> Unit) {
        if (clock.now() - submittedAt > LATE_OUTCOME_MS) {
            poll(jobId, answer)
        } else {
            answer(UserAnswers.accepted(jobId))
        }
    }

    /** Answers for a job that was accepted before: if it cannot be found now, it must still not be called unknown. */
    private fun answerExisting(jobId: String, answer: (UserAnswer) -> Unit) = lookup.find(jobId) { found ->
        val isUnknown = found is JobLookupResult.Unknown
        answer(if (isUnknown) UserAnswers.undecided() else answerTo(jobId, found))
    }

    private fun cancel(jobId: String, remainingTries: Int, answer: (UserAnswer) -> Unit): Unit =
        lookup.find(jobId) { found ->
            when {
                found !is JobLookupResult.Unfinished -> answer(answerTo(jobId, found))
                found.job.record.isCancelled -> answer(UserAnswers.cancelled(jobId))
                !store.isAvailable -> answer(UserAnswers.undecided())
                else -> storeCancellation(jobId, found.job, remainingTries, answer)
            }
        }

    /** Stores that the job is cancelled; looks the job up again if others have changed its record meanwhile. */
    private fun storeCancellation(jobId: String, job: LiveJob, remainingTries: Int, answer: (UserAnswer) -> Unit) {
        val path = Keys.liveJob(job.shard.value, jobId)
        val record = job.record.cancelled().toFields()
        val transaction = CasTransaction(
            listOf(Precondition(path, job.version)),
            listOf(Write.Put(path, record)),
            WritePriority.USER,
        ) { outcome ->
            if (outcome is CommitOutcome.Applied) {
                log.info("job {}: cancelled by its user", jobId)
                answer(UserAnswers.cancelled(jobId))
                jobs.applyRecord(path, record, outcome.revision)
            } else if (remainingTries > 1) {
                cancel(jobId, remainingTries - 1, answer)
            } else {
                answer(UserAnswers.undecided())
            }
        }
        store.commit(transaction)
    }

    private companion object {
        /** The version of a record that does not exist. */
        const val ABSENT = 0L
        const val MAX_CANCELLATION_TRIES = 4

        /**
         * Longer than the store takes for any answer that is not lost, and shorter than a user waits before turning to
         * another controller.
         */
        const val LATE_OUTCOME_MS = 1_500L
    }
}

package io.reedmast.requests

import io.reedmast.cluster.Cluster
import io.reedmast.jobs.EndRecord
import io.reedmast.jobs.LiveJob
import io.reedmast.jobs.LiveRecord
import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.ReadResult
import io.reedmast.kvstore.Write
import io.reedmast.kvstore.WritePriority
import io.reedmast.persistence.PageForm
import io.reedmast.placement.zoneRulesNeverHold
import io.reedmast.ports.Clock
import io.reedmast.ports.KeyValueStore
import io.reedmast.settings.Settings
import io.reedmast.wire.JobShape
import io.reedmast.wire.JobSpec
import io.reedmast.wire.JobState
import io.reedmast.wire.JobStatus
import io.reedmast.wire.MachineType
import io.reedmast.wire.MalformedException
import io.reedmast.wire.UserAnswer
import org.slf4j.LoggerFactory

/**
 * Submissions, polls and cancellations, on any controller.
 *
 * What a user is told is stored before, and a poll waits until this controller knows all that was stored when it came,
 * so every later answer of every controller agrees with it. Only final states are answered from memory at once, since
 * they never change.
 */
class JobRequestHandler(
    private val settings: Settings,
    private val clock: Clock,
    private val store: KeyValueStore,
    private val limits: EffectiveLimits,
    private val cluster: Cluster,
    private val machineTypes: () -> Map<String, MachineType>,
) {
    private val log = LoggerFactory.getLogger("jobs")
    private val jobs get() = cluster.jobs

    fun submit(spec: JobSpec, answer: (UserAnswer) -> Unit) {
        jobs.ended[spec.jobId]?.let {
            answer(ended(spec.jobId, it))
            return
        }
        // Before anything that could refuse it: an accepted job's submission may be repeated at any time.
        if (jobs.live(spec.jobId) != null) {
            poll(spec.jobId, answer)
            return
        }
        val team = settings.teamsByName[spec.teamName]
        val refusal = if (team ==
            null
        ) {
            "unknown team"
        } else {
            refusal(spec, settings.teams[team.value].maxCpus, settings.teams[team.value].maxGpus)
        }
        if (team == null || refusal != null) {
            refuse(spec.jobId, refusal, answer)
            return
        }
        if (!cluster.ready || machineTypes().isEmpty() || !store.isAvailable) {
            answer(later())
            return
        }
        if (zoneRulesNeverHold(spec, machineTypes().values.flatMapTo(HashSet()) { it.zones })) {
            refuse(spec.jobId, "the gang's zone rules leave it no place", answer)
            return
        }
        if (fitsNowhere(spec)) {
            refuse(spec.jobId, "a task fits no allowed machine type", answer)
            return
        }
        val askedAt = clock.now()
        val shard = settings.shardOf(team).value
        val record = LiveRecord(
            spec,
            PageForm.chunkSizeFor(limits.target.valueBytes),
            clock.wall(),
            isCancelled = false,
        ).toFields()
        val path = Keys.live(shard, spec.jobId)
        // A late copy of a submission must not bring back a job that is over: its end is a condition too.
        val change =
            CasTransaction(
                listOf(Precondition(path, 0), Precondition(Keys.end(spec.jobId), 0)),
                listOf(Write.Put(path, record)),
                WritePriority.USER,
            ) { outcome ->
                when (outcome) {
                    is CommitOutcome.Applied -> {
                        log.info(
                            "job {}: accepted, {} tasks of class {} for team {}",
                            spec.jobId,
                            spec.taskCount,
                            spec.jobClass,
                            spec.teamName,
                        )
                        jobs.applyRecord(path, record, outcome.revision)
                        accepted(spec.jobId, askedAt, answer)
                    }

                    is CommitOutcome.Conflict -> poll(spec.jobId) { answer(if (it.status == 404) later() else it) }

                    is CommitOutcome.Refused -> answer(UserAnswer(413, error = "the job's description is too large"))
                }
            }
        if (!store.commit(
                change,
                refusable = true,
            )
        ) {
            answer(UserAnswer(429, error = "overloaded", retryAfterS = RETRY_AFTER_S))
        }
    }

    /**
     * The job's record is stored. Where that was found out only after a lost answer, the job may have been seen,
     * cancelled and ended through other controllers since, and its present state is the answer.
     */
    private fun accepted(jobId: String, askedAt: Long, answer: (UserAnswer) -> Unit) {
        if (clock.now() - askedAt >
            LATE_MS
        ) {
            poll(jobId, answer)
        } else {
            answer(UserAnswer(201, JobStatus(jobId, JobState.QUEUED)))
        }
    }

    /**
     * 422, unless the job was accepted before: a process that has just started, or has let go of an ended job, must
     * look first.
     */
    private fun refuse(jobId: String, reason: String?, answer: (UserAnswer) -> Unit) =
        poll(jobId) { known -> answer(if (known.status == UNKNOWN.status) UserAnswer(422, error = reason) else known) }

    private fun refusal(spec: JobSpec, maxCpus: Double, maxGpus: Double): String? {
        val times = if (spec.shape == JobShape.ARRAY) 1.0 else spec.taskCount.toDouble()
        val above =
            (maxCpus > 0 && spec.cpus * times > maxCpus + SLACK) || (maxGpus > 0 && spec.gpus * times > maxGpus + SLACK)
        return if (above) "more than the team's limit" else null
    }

    private fun fitsNowhere(spec: JobSpec): Boolean =
        (spec.zone != null && spec.zone !in settings.zones && machineTypes().values.none { spec.zone in it.zones }) ||
            machineTypes().values.none { machineType ->
                (spec.allowedTypes == null || machineType.label in spec.allowedTypes) &&
                    machineType.holds(spec.cpus, spec.gpus, spec.memoryGb) >= 1 &&
                    (spec.zone == null || machineType.zones.isEmpty() || spec.zone in machineType.zones)
            }

    private fun later() = UserAnswer(503, error = "cannot decide yet", retryAfterS = RETRY_AFTER_S)

    private fun ended(jobId: String, end: EndRecord): UserAnswer {
        val done = if (end.state == JobState.DONE) end.taskCount else 0
        return UserAnswer(200, JobStatus(jobId, end.state, done, running = 0))
    }

    private fun cancelledAnswer(jobId: String) = ended(jobId, EndRecord(JobState.CANCELLED, 0))

    /** Counts are for display; a job of which no owner has told is shown as queued, which is never too new. */
    private fun unfinished(jobId: String, job: LiveJob) = UserAnswer(
        200,
        JobStatus(
            jobId,
            if (job.running >
                0
            ) {
                JobState.RUNNING
            } else {
                JobState.QUEUED
            },
            job.done,
            job.running,
        ),
    )

    fun poll(jobId: String, answer: (UserAnswer) -> Unit) = find(jobId, answer) { job ->
        answer(if (job.record.isCancelled) cancelledAnswer(jobId) else unfinished(jobId, job))
    }

    /** Answers for a job that is over, unknown, or cannot be looked up now; leaves an unfinished one to [use]. */
    private fun find(jobId: String, answer: (UserAnswer) -> Unit, use: (LiveJob) -> Unit) {
        if (!JobSpec.isJobId(jobId)) {
            answer(UNKNOWN)
            return
        }
        jobs.ended[jobId]?.let {
            answer(ended(jobId, it))
            return
        }
        if (!cluster.isCurrent()) {
            answer(later())
            return
        }
        cluster.staleness.awaitJobsBarrier { known ->
            val job = jobs.live(jobId)
            val end = jobs.ended[jobId]
            when {
                !known -> answer(later())
                end != null -> answer(ended(jobId, end))
                job != null -> use(job)
                jobs.isUnreadable(jobId) -> answer(later())
                else -> readEnd(jobId, answer)
            }
        }
    }

    /** Not among the unfinished: it ended long ago, or nobody has submitted it. */
    private fun readEnd(jobId: String, answer: (UserAnswer) -> Unit) = store.get(Keys.end(jobId)) { fetched ->
        when (fetched) {
            is ReadResult.Failed -> answer(later())

            is ReadResult.Missing -> answer(UNKNOWN)

            is ReadResult.Found -> try {
                val end = EndRecord.parse(fetched.item.value)
                jobs.ended.record(jobId, end)
                answer(ended(jobId, end))
            } catch (e: MalformedException) {
                jobs.unreadable.report(Keys.end(jobId), e.message)
                answer(later())
            }
        }
    }

    fun cancel(jobId: String, answer: (UserAnswer) -> Unit, tries: Int = ABORT_TRIES): Unit =
        find(jobId, answer) { job ->
            if (job.record.isCancelled) {
                answer(cancelledAnswer(jobId))
                return@find
            }
            if (!store.isAvailable) {
                answer(later())
                return@find
            }
            val path = Keys.live(job.shard.value, jobId)
            val record = job.record.cancelled().toFields()
            store.commit(
                CasTransaction(
                    listOf(Precondition(path, job.version)),
                    listOf(Write.Put(path, record)),
                    WritePriority.USER,
                ) { outcome ->
                    if (outcome is CommitOutcome.Applied) {
                        log.info("job {}: cancelled by its user", jobId)
                        answer(cancelledAnswer(jobId))
                        jobs.applyRecord(path, record, outcome.revision)
                    } else if (tries > 1) {
                        cancel(jobId, answer, tries - 1)
                    } else {
                        answer(later())
                    }
                },
            )
        }

    private companion object {
        val UNKNOWN = UserAnswer(404, error = "no such job")
        const val RETRY_AFTER_S = 1
        const val ABORT_TRIES = 4

        /** Later than any answer of the store that was not lost, and sooner than a user turns to another controller. */
        const val LATE_MS = 1_500L
        const val SLACK = 1e-9
    }
}

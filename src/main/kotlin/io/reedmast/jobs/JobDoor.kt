package io.reedmast.jobs

import io.reedmast.ownership.Cluster
import io.reedmast.ports.Clock
import io.reedmast.ports.Gateway
import io.reedmast.settings.Settings
import io.reedmast.state.Change
import io.reedmast.state.Fetched
import io.reedmast.state.Guard
import io.reedmast.state.Keys
import io.reedmast.state.Outcome
import io.reedmast.state.Write
import io.reedmast.wire.Fields
import io.reedmast.wire.Flavor
import io.reedmast.wire.JobSpec
import io.reedmast.wire.MalformedException
import org.slf4j.LoggerFactory

/** The answer to a user. */
data class UserAnswer(val status: Int, val body: Fields, val retryAfterS: Int? = null)

/**
 * Submissions, polls and cancellations, on any node.
 *
 * What a user is told is stored before, and a poll waits until this node knows all that was stored when it came, so every
 * later answer of every node agrees with it. Only final states are answered from memory at once, since they never change.
 */
class JobDoor(
    private val settings: Settings,
    private val clock: Clock,
    private val out: Gateway,
    private val cluster: Cluster,
    private val flavors: () -> Map<String, Flavor>,
) {
    private val log = LoggerFactory.getLogger("jobs")
    private val jobs get() = cluster.jobs

    fun submit(spec: JobSpec, answer: (UserAnswer) -> Unit) {
        jobs.end(spec.ref)?.let {
            answer(ended(spec.ref, it))
            return
        }
        // Before anything that could refuse it: an accepted job's submission may be repeated at any time.
        if (jobs.live(spec.ref) != null) {
            poll(spec.ref, answer)
            return
        }
        val team = settings.teamsByName[spec.crew]
        val refusal = if (team == null) "unknown team" else refusal(spec, settings.teams[team.value].maxCpus, settings.teams[team.value].maxGpus)
        if (team == null || refusal != null) {
            answer(UserAnswer(422, mapOf("error" to refusal)))
            return
        }
        if (!cluster.ready || flavors().isEmpty() || !out.stateAnswers) {
            answer(later())
            return
        }
        if (fitsNowhere(spec)) {
            answer(UserAnswer(422, mapOf("error" to "a task fits no allowed machine type")))
            return
        }
        val slice = settings.sliceOf(team).value
        val record = LiveRecord(spec, Page.chunkSizeFor(settings.stateLimits.valueBytes), clock.wall(), aborted = false).toFields()
        val path = Keys.live(slice, spec.ref)
        // A late copy of a submission must not bring back a job that is over: its end is a condition too.
        val change =
            Change(listOf(Guard(path, 0), Guard(Keys.end(spec.ref), 0)), listOf(Write.Put(path, record))) { outcome ->
                when (outcome) {
                    is Outcome.Applied -> {
                        log.info("{}: accepted, {} tasks of {} for {}", spec.ref, spec.pieces, spec.lot, spec.crew)
                        answer(UserAnswer(201, mapOf("ref" to spec.ref, "stage" to "queued")))
                        jobs.see(path, record, outcome.epoch)
                    }

                    is Outcome.Conflict -> poll(spec.ref) { answer(if (it.status == 404) later() else it) }

                    is Outcome.Refused -> answer(UserAnswer(413, mapOf("error" to "the job's description is too large")))
                }
            }
        if (!out.commit(change, refusable = true)) answer(UserAnswer(429, mapOf("error" to "overloaded"), RETRY_AFTER_S))
    }

    private fun refusal(spec: JobSpec, maxCpus: Double, maxGpus: Double): String? {
        val times = if (spec.service) spec.pieces.toDouble() else 1.0
        val above = (maxCpus > 0 && spec.cpus * times > maxCpus + SLACK) || (maxGpus > 0 && spec.gpus * times > maxGpus + SLACK)
        return if (above) "more than the team's limit" else null
    }

    private fun fitsNowhere(spec: JobSpec): Boolean = (spec.yard != null && spec.yard !in settings.zones && flavors().values.none { spec.yard in it.yards }) ||
        flavors().values.none { flavor ->
            (spec.builds == null || flavor.label in spec.builds) && flavor.holds(spec.cpus, spec.gpus, spec.memGb) >= 1 &&
                (spec.yard == null || flavor.yards.isEmpty() || spec.yard in flavor.yards)
        }

    private fun later() = UserAnswer(503, mapOf("error" to "cannot decide yet"), RETRY_AFTER_S)

    private fun ended(ref: String, end: EndRecord): UserAnswer {
        val done = if (end.stage == FinalStage.DONE) end.pieces else 0
        return UserAnswer(200, mapOf("ref" to ref, "stage" to end.stage.wire, "done" to done, "running" to 0))
    }

    private fun aborted(ref: String) = ended(ref, EndRecord(FinalStage.ABORTED, 0))

    /** Counts are for display; a job of which no owner has told is shown as queued, which is never too new. */
    private fun unfinished(ref: String, job: LiveJob) =
        UserAnswer(200, mapOf("ref" to ref, "stage" to if (job.running > 0) "running" else "queued", "done" to job.done, "running" to job.running))

    fun poll(ref: String, answer: (UserAnswer) -> Unit) = find(ref, answer) { job ->
        answer(if (job.record.aborted) aborted(ref) else unfinished(ref, job))
    }

    /** Answers for a job that is over, unknown, or cannot be looked up now; leaves an unfinished one to [use]. */
    private fun find(ref: String, answer: (UserAnswer) -> Unit, use: (LiveJob) -> Unit) {
        if (!JobSpec.isRef(ref)) {
            answer(UNKNOWN)
            return
        }
        jobs.end(ref)?.let {
            answer(ended(ref, it))
            return
        }
        if (!cluster.fresh()) {
            answer(later())
            return
        }
        cluster.freshness.whenJobsKnown { known ->
            val job = jobs.live(ref)
            val end = jobs.end(ref)
            when {
                !known -> answer(later())
                end != null -> answer(ended(ref, end))
                job != null -> use(job)
                else -> readEnd(ref, answer)
            }
        }
    }

    /** Not among the unfinished: it ended long ago, or nobody has submitted it. */
    private fun readEnd(ref: String, answer: (UserAnswer) -> Unit) = out.get(Keys.end(ref)) { fetched ->
        when (fetched) {
            is Fetched.Failed -> answer(later())

            is Fetched.Missing -> answer(UNKNOWN)

            is Fetched.Found -> try {
                val end = EndRecord.parse(fetched.item.value)
                jobs.noteEnd(ref, end)
                answer(ended(ref, end))
            } catch (e: MalformedException) {
                jobs.unreadable.note(Keys.end(ref), e.message)
                answer(later())
            }
        }
    }

    fun abort(ref: String, answer: (UserAnswer) -> Unit, tries: Int = ABORT_TRIES): Unit = find(ref, answer) { job ->
        if (job.record.aborted) {
            answer(aborted(ref))
            return@find
        }
        if (!out.stateAnswers) {
            answer(later())
            return@find
        }
        val path = Keys.live(job.slice.value, ref)
        val record = job.record.aborted().toFields()
        out.commit(
            Change(listOf(Guard(path, job.stamp)), listOf(Write.Put(path, record))) { outcome ->
                if (outcome is Outcome.Applied) {
                    log.info("{}: cancelled by its user", ref)
                    answer(aborted(ref))
                    jobs.see(path, record, outcome.epoch)
                } else if (tries > 1) {
                    abort(ref, answer, tries - 1)
                } else {
                    answer(later())
                }
            },
        )
    }

    private companion object {
        val UNKNOWN = UserAnswer(404, mapOf("error" to "no such job"))
        const val RETRY_AFTER_S = 1
        const val ABORT_TRIES = 4
        const val SLACK = 1e-9
    }
}

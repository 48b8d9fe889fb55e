package io.reedmast.jobs

import com.github.benmanes.caffeine.cache.Caffeine
import io.reedmast.app.Clock
import io.reedmast.app.Outward
import io.reedmast.ownership.Cluster
import io.reedmast.peers.Progress
import io.reedmast.settings.Settings
import io.reedmast.settings.SliceIndex
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
 * What a user is told is stored before, and a poll reads the stored record, so every later answer of every node agrees
 * with it. Only final states are remembered, since they never change.
 */
class JobDoor(
    private val settings: Settings,
    private val clock: Clock,
    private val out: Outward,
    private val cluster: Cluster,
    private val flavors: () -> Map<String, Flavor>,
) {
    private val log = LoggerFactory.getLogger("jobs")
    private val finals = Caffeine.newBuilder().maximumSize(FINALS_KEPT).executor(Runnable::run).build<String, RefRecord>()

    fun submit(spec: JobSpec, answer: (UserAnswer) -> Unit) {
        finals.getIfPresent(spec.ref)?.let {
            answer(known(spec.ref, it))
            return
        }
        val team = settings.teamsByName[spec.crew]
        val refusal = if (team == null) "unknown team" else refusal(spec, settings.teams[team.value].maxCpus, settings.teams[team.value].maxGpus)
        if (team == null || refusal != null) {
            answer(UserAnswer(422, mapOf("error" to refusal)))
            return
        }
        if (!cluster.ready || flavors().isEmpty()) {
            answer(later())
            return
        }
        if (fitsNowhere(spec)) {
            answer(UserAnswer(422, mapOf("error" to "a task fits no allowed machine type")))
            return
        }
        if (!out.stateAnswers) {
            answer(later())
            return
        }
        val slice = settings.sliceOf(team).value
        val now = clock.wall()
        val record = RefRecord(slice, spec.pieces, null, spec.toFields(), now)
        val header = Job.header(spec, Job.chunkSizeFor(settings.stateLimits.valueBytes), now)
        val paths = listOf(Keys.ref(spec.ref), Keys.live(slice, spec.ref))
        val change =
            Change(
                paths.map { Guard(it, 0) },
                listOf(Write.Put(paths[0], record.toFields()), Write.Put(paths[1], header)),
            ) { outcome ->
                when (outcome) {
                    is Outcome.Applied -> {
                        log.info("{}: accepted, {} tasks of {} for {}", spec.ref, spec.pieces, spec.lot, spec.crew)
                        answer(UserAnswer(201, mapOf("ref" to spec.ref, "stage" to "queued")))
                        cluster.refChanged(spec.ref, record, outcome.epoch)
                        cluster.owned().forEach { it.settle() }
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

    private fun known(ref: String, record: RefRecord): UserAnswer {
        val done = if (record.final == FinalStage.DONE) record.pieces else 0
        return UserAnswer(200, mapOf("ref" to ref, "stage" to record.final?.wire, "done" to done, "running" to 0))
    }

    fun poll(ref: String, answer: (UserAnswer) -> Unit) {
        if (!JobSpec.isRef(ref)) {
            answer(UNKNOWN)
            return
        }
        finals.getIfPresent(ref)?.let {
            answer(known(ref, it))
            return
        }
        read(ref, answer) { record, _ ->
            if (record.final != null) {
                finals.put(ref, record)
                answer(known(ref, record))
            } else {
                progress(ref, record, answer)
            }
        }
    }

    private fun progress(ref: String, record: RefRecord, answer: (UserAnswer) -> Unit) {
        val owner = cluster.ownerOf(SliceIndex(record.slice))
        if (owner == null || owner == settings.label) {
            answer(stage(ref, cluster.owners.getOrNull(record.slice)?.takeIf { !it.dropped }?.progress(ref)))
        } else {
            out.progress(owner, ref) { answer(stage(ref, it)) }
        }
    }

    /** Counts are for display: a job whose owner does not answer is shown as queued, which is never too new. */
    private fun stage(ref: String, progress: Progress?): UserAnswer {
        val running = progress?.running ?: 0
        return UserAnswer(
            200,
            mapOf("ref" to ref, "stage" to if (running > 0) "running" else "queued", "done" to (progress?.done ?: 0), "running" to running),
        )
    }

    fun abort(ref: String, answer: (UserAnswer) -> Unit, tries: Int = ABORT_TRIES) {
        if (!JobSpec.isRef(ref)) {
            answer(UNKNOWN)
            return
        }
        read(ref, answer) { record, stamp ->
            if (record.final != null) {
                finals.put(ref, record)
                answer(ended(ref, record.final))
                return@read
            }
            if (!out.stateAnswers) {
                answer(later())
                return@read
            }
            val aborted = record.ended(FinalStage.ABORTED)
            val mark = Keys.abortMark(record.slice, ref)
            out.commit(
                Change(
                    listOf(Guard(Keys.ref(ref), stamp), Guard(mark, 0)),
                    listOf(Write.Put(Keys.ref(ref), aborted.toFields()), Write.Put(mark, emptyMap())),
                ) { outcome ->
                    if (outcome is Outcome.Applied) {
                        finals.put(ref, aborted)
                        answer(ended(ref, FinalStage.ABORTED))
                        cluster.refChanged(ref, aborted, outcome.epoch)
                        cluster.owned().forEach { it.settle() }
                    } else if (tries > 1) {
                        abort(ref, answer, tries - 1)
                    } else {
                        answer(later())
                    }
                },
            )
        }
    }

    private fun ended(ref: String, stage: FinalStage) = UserAnswer(200, mapOf("ref" to ref, "stage" to stage.wire))

    private fun read(ref: String, answer: (UserAnswer) -> Unit, use: (RefRecord, Long) -> Unit) {
        out.get(Keys.ref(ref)) { fetched ->
            when (fetched) {
                is Fetched.Failed -> {
                    answer(later())
                }

                is Fetched.Missing -> {
                    answer(UNKNOWN)
                }

                is Fetched.Found -> {
                    val record =
                        try {
                            RefRecord.parse(fetched.item.value)
                        } catch (e: MalformedException) {
                            log.error("{}: its record cannot be read: {}", ref, e.message)
                            null
                        }
                    if (record == null) answer(later()) else use(record, fetched.item.stamp)
                }
            }
        }
    }

    private companion object {
        val UNKNOWN = UserAnswer(404, mapOf("error" to "no such job"))
        const val FINALS_KEPT = 20_000L
        const val RETRY_AFTER_S = 1
        const val ABORT_TRIES = 4
        const val SLACK = 1e-9
    }
}

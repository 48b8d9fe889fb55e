package io.reedmast.sim

import io.reedmast.kvstore.Keys
import io.reedmast.model.ShardState
import io.reedmast.placement.isEligible
import io.reedmast.wire.TaskId
import io.reedmast.wire.UserAnswer

/**
 * Checks the rules of the protocol against the answers that users got, the tasks that run on each worker and the
 * contents of the store. The controllers' own state is not consulted for them.
 *
 * Three conditions that the rules rely on are checked too, since they fail long before a user notices anything: a job
 * that a user got an answer about is in the store, a task is launched only where a stored page places it, and the sums
 * that the owner of a shard keeps agree with what they sum ([ShardRecount]).
 */
class RuleChecker(private val world: World) {
    private class RunningTasks {
        val machines = HashMap<TaskId, MutableList<SimWorker>>()
    }

    /** The rules that were broken, each with its simulated time. */
    val violations = ArrayList<String>()

    /** The state of each job in the last answer to a user. */
    val answeredStates = HashMap<String, String>()

    /** How many times tasks of each job have started. */
    val startCounts = HashMap<String, Int>()

    private val running = HashMap<String, RunningTasks>()
    private val residentCount = HashMap<String, Int>()
    private val cancelledJobs = HashSet<String>()

    /**
     * Since when each job has been waiting although a machine had room, its team was below its limit and none of its
     * tasks was on a machine.
     */
    private val neglectedSince = HashMap<String, Long>()

    fun addViolation(what: String) {
        violations.add("${world.now() / 1000.0} s: $what")
    }

    /** The shards whose sums have been found wrong; each is reported once, since a wrong sum stays wrong. */
    private val miscounted = HashSet<ShardState>()

    /** Compares the sums that the owner of a shard keeps with what they sum. */
    fun checkRecount(controller: String, shardState: ShardState) {
        checkPlacementCount(controller, shardState)
        if (shardState in miscounted) return
        val mismatches = ShardRecount(shardState).mismatches()
        if (mismatches.isEmpty()) return
        miscounted.add(shardState)
        addViolation("miscounted by $controller in shard ${shardState.index.value}: $mismatches")
    }

    /** All shards together hold no more placements than one controller can. */
    private fun checkPlacementCount(controller: String, shardState: ShardState) {
        val maxOfShard = shardState.tuning.maxPlacements / shardState.settings.shardCount
        val placed = shardState.machines.values.sumOf { it.placements.size }
        if (placed > maxOfShard) addViolation("too_many_placements: $placed by $controller")
    }

    /** A worker has accepted a launch: the task occupies resources there from now on. */
    fun taskLaunched(worker: SimWorker, id: TaskId, attempt: Long) {
        residentCount.merge(id.jobId, 1, Int::plus)
        if (!world.store.isPlaced(
                id,
                attempt,
                worker.name,
            )
        ) {
            addViolation("launched_unstored $id try $attempt on ${worker.name}")
        }
    }

    /** A task has fetched its image and runs. */
    fun taskStarted(worker: SimWorker, id: TaskId, attempt: Long) {
        startCounts.merge(id.jobId, 1, Int::plus)
        val machines = running.getOrPut(id.jobId) { RunningTasks() }.machines.getOrPut(id) { ArrayList(1) }
        machines.add(worker)
        if (machines.size > 1) addViolation("ran_twice $id on ${machines.map { it.name }}")
        checkSingleAttempt(id, attempt)
        checkQuota(id)
        checkPlacementRules(worker, id)
        checkCancelled(id.jobId)
    }

    /** The latest attempt of each gang that has been started. */
    private val gangAttempts = HashMap<String, Long>()

    /** A gang has one attempt at a time: it must have ended on all machines before the next one starts on any. */
    private fun checkSingleAttempt(id: TaskId, attempt: Long) {
        if (!world.jobs.getValue(id.jobId).spec.isGang) return
        val previous = gangAttempts.put(id.jobId, attempt)
        if (previous != null && previous != attempt &&
            runningCount(id.jobId) > 1
        ) {
            addViolation("two_attempts $id: $previous and $attempt")
        }
    }

    /** A task has completed, was killed or disappeared with its machine; [wasStarted] if it had started to run. */
    fun taskEnded(worker: SimWorker, id: TaskId, wasStarted: Boolean) {
        residentCount.merge(id.jobId, -1, Int::plus)
        if (!wasStarted) return
        val tasks = running[id.jobId]?.machines ?: return
        tasks[id]?.remove(worker)
        if (tasks[id]?.isEmpty() == true) tasks.remove(id)
    }

    /** A test has moved a running task from one worker to another. */
    fun taskMoved(from: SimWorker, to: SimWorker, id: TaskId) {
        val machines = running.getValue(id.jobId).machines.getValue(id)
        machines.remove(from)
        machines.add(to)
    }

    /** The number of running tasks of the job. */
    fun runningCount(jobId: String): Int = running[jobId]?.machines?.values?.sumOf { it.size } ?: 0

    private fun usedCpus(teamName: String): Double = running.entries.sumOf { (jobId, tasks) ->
        val spec = world.jobs.getValue(jobId).spec
        if (spec.teamName == teamName) tasks.machines.values.sumOf { it.size } * spec.cpus else 0.0
    }

    private fun checkQuota(id: TaskId) {
        val teamName = world.jobs.getValue(id.jobId).spec.teamName
        val limit = world.settings.teams.first { it.name == teamName }.maxCpus
        if (limit <= 0) return
        val used = usedCpus(teamName)
        if (used > limit + CPU_TOLERANCE) addViolation("quota of $teamName: $used")
    }

    private fun checkPlacementRules(worker: SimWorker, id: TaskId) {
        val spec = world.jobs.getValue(id.jobId).spec
        val others = running.getValue(id.jobId).machines.values.flatten()
        val wrong =
            (worker.spot && !spec.spot) || (spec.zone != null && spec.zone != worker.zone) ||
                (spec.allowedTypes != null && worker.machineType.label !in spec.allowedTypes.orEmpty()) ||
                (spec.oneZone && others.any { it.zone != worker.zone }) ||
                (spec.spread && others.count { it.zone == worker.zone } > (spec.taskCount + 1) / 2)
        if (wrong) addViolation("wrong_place $id on ${worker.name} in ${worker.zone}")
    }

    fun checkCancelled() = cancelledJobs.forEach { checkCancelled(it) }

    private fun checkCancelled(jobId: String) {
        val cancelledAt = world.jobs[jobId]?.cancelledAt ?: return
        if (cancelledAt == 0L || world.now() - cancelledAt <= world.settings.workers.cancelDeadlineS * 1000) return
        running[jobId]?.machines?.forEach { (id, machines) ->
            addViolation("ran_cancelled $id on ${machines.map { it.name }}")
        }
    }

    /** A user got [answer]; [wasAccepted] if the job had been accepted before the request was sent. */
    fun answered(jobId: String, answer: UserAnswer, wasAccepted: Boolean) {
        if (wasAccepted && answer.status in REJECTION_STATUSES) addViolation("forgotten $jobId: ${answer.status}")
        val state = answer.job?.state?.wireName ?: return
        val job = world.jobs[jobId]
        if (job == null) addViolation("invented $jobId")
        val previous = answeredStates[jobId]
        if (previous in FINAL_STATES && state != previous) addViolation("went_back $jobId from $previous to $state")
        if (state == "done" && job != null &&
            job.completedTasks.size < job.spec.taskCount
        ) {
            addViolation("not_done $jobId")
        }
        if (!isStored(jobId)) addViolation("told_unstored $jobId: $state")
        answeredStates[jobId] = state
        if (state == "aborted" && job != null && job.cancelledAt == 0L) {
            job.cancelledAt = world.now()
            cancelledJobs.add(jobId)
        }
    }

    private fun isStored(jobId: String): Boolean = world.store.get(Keys.endedJob(jobId)) != null ||
        (0 until world.settings.shardCount).any { world.store.get(Keys.liveJob(it, jobId)) != null }

    /**
     * Once all faults have ended, no job waits longer than 90 s while an eligible machine has room and its team is
     * below its limit.
     */
    fun checkNeglected() {
        if (world.now() < world.faultFreeSince) return
        val freeCpusByWorker = world.workers.values.filter { it.alive }.map { it to it.freeCpus() }
        for ((jobId, job) in world.jobs) {
            if (!isWaiting(jobId, job) || !isUnderLimit(job) || !hasRoom(job, freeCpusByWorker)) {
                neglectedSince[jobId] = world.now()
            } else if (world.now() - maxOf(neglectedSince[jobId] ?: 0L, world.faultFreeSince) > NEGLECTED_AFTER_MS) {
                addViolation("neglected $jobId")
                neglectedSince[jobId] = world.now()
            }
        }
    }

    private fun isWaiting(jobId: String, job: World.SimJob) =
        jobId in answeredStates && answeredStates[jobId] !in FINAL_STATES && !job.fails &&
            (job.spec.isService || job.completedTasks.size < job.spec.taskCount) && (residentCount[jobId] ?: 0) == 0

    /** Whether there is room for one task of the job or, for a gang, for all its tasks, in one zone if required. */
    private fun hasRoom(job: World.SimJob, freeCpusByWorker: List<Pair<SimWorker, Double>>): Boolean {
        val fitting = freeCpusByWorker.filter { (worker, cpus) -> fits(job, worker, cpus) }
        if (!job.spec.isGang) return fitting.isNotEmpty()
        val slotsByZone = fitting.groupBy({ (worker, _) -> if (job.spec.oneZone) worker.zone else "" }, { (_, cpus) ->
            (
                (
                    cpus +
                        CPU_TOLERANCE
                    ) /
                    job.spec.cpus
                ).toInt()
        })
        return slotsByZone.values.any { it.sum() >= job.spec.taskCount }
    }

    private fun fits(job: World.SimJob, worker: SimWorker, freeCpus: Double) =
        freeCpus + CPU_TOLERANCE >= job.spec.cpus &&
            isEligible(job.spec, worker.machineType.label, worker.zone, worker.spot)

    /** Whether the team's limit allows one more task of the job or, for a gang, all its tasks. */
    private fun isUnderLimit(job: World.SimJob): Boolean {
        val limit = world.settings.teams.first { it.name == job.spec.teamName }.maxCpus
        if (limit == 0.0) return true
        val used = residentCount.entries.sumOf { (jobId, count) ->
            val spec = world.jobs[jobId]?.spec
            if (spec?.teamName == job.spec.teamName) count * spec.cpus else 0.0
        }
        return used + job.spec.cpus * (if (job.spec.isGang) job.spec.taskCount else 1) <= limit + CPU_TOLERANCE
    }

    /** Accepted jobs that have not completed, do not run as required, or still run after their cancellation. */
    fun unsettled(): List<String> = answeredStates.keys.sorted().mapNotNull { jobId ->
        val job = world.jobs.getValue(jobId)
        val count = runningCount(jobId)
        when {
            answeredStates[jobId] == "aborted" -> if (count > 0) "$jobId is cancelled and runs" else null
            job.fails || !isUnderLimit(job) -> null
            job.spec.isService -> if (count !=
                job.spec.taskCount
            ) {
                "$jobId: $count of ${job.spec.taskCount} run"
            } else {
                null
            }
            else ->
                if (job.completedTasks.size <
                    job.spec.taskCount
                ) {
                    "$jobId: ${job.completedTasks.size} of ${job.spec.taskCount} done"
                } else {
                    null
                }
        }
    }

    private companion object {
        val FINAL_STATES = setOf("done", "aborted")
        val REJECTION_STATUSES = setOf(400, 404, 422)
        const val NEGLECTED_AFTER_MS = 90_000L
        const val CPU_TOLERANCE = 1e-6
    }
}

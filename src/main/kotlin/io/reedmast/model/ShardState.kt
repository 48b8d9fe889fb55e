package io.reedmast.model

import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.ports.Clock
import io.reedmast.rollout.GateSnapshot
import io.reedmast.settings.Settings
import io.reedmast.settings.ShardId
import io.reedmast.settings.TeamId
import io.reedmast.settings.Tuning
import io.reedmast.wire.JobSpec
import io.reedmast.wire.MachineType

/**
 * What an owner knows of its shard. The duties around it (reports, commands, placing, storing, upkeep, demand) read and
 * change it, all on the deciding thread.
 *
 * Nothing here guesses: a placement counts from the decision until there is evidence that its attempt is over.
 */
class ShardState(
    val index: ShardId,
    val settings: Settings,
    val tuning: Tuning,
    val clock: Clock,
    private val machineTypeList: () -> Collection<MachineType>,
    /** Whether this controller has lately heard enough from the store to act. */
    val isCurrent: () -> Boolean,
    val limits: EffectiveLimits = EffectiveLimits(settings.storeLimits, settings.nextStoreLimits),
    /** The gates of the rollout as they now stand. */
    val gates: () -> GateSnapshot = { GateSnapshot.NONE },
) {
    var token = 0L
    var term = 0L
    var active = false
    var activeAt = 0L

    /** Set when another owner has taken the shard: answers that still come in are ignored. */
    var dropped = false

    val jobs = LinkedHashMap<String, Job>()
    val machines = LinkedHashMap<String, Machine>()
    val usage = ChargedUsage((tuning.windowS * 1000).toLong())
    val teams = settings.teams.indices.map { TeamId(it) }.filter { settings.shardOf(it) == index }
    private val usedCpus = DoubleArray(settings.teams.size)
    private val usedGpus = DoubleArray(settings.teams.size)

    /** For whom a placement is being stopped: that many tasks of the job need no other victim. */
    val preemptedFor = HashMap<Placement, Job>()

    /** Machines of a zone that were given up as silent or never came up, by when. */
    val silentMachinesByZone = HashMap<String, ArrayDeque<Long>>()

    /** Until then nothing is placed: what runs is not fully known. */
    var passNotBefore = 0L

    /** Gangs that have lost a task, what is left of which is to be stopped. */
    val incompleteGangs = LinkedHashSet<Job>()

    /** Something has changed that may let waiting work start. */
    var passRequested = false

    /** The jobs that came lately. */
    val jobArrivals = JobArrivals()
    val arrivals: ArrayDeque<JobArrival> get() = jobArrivals.services
    val arrayArrivals: ArrayDeque<JobArrival> get() = jobArrivals.arrays
    val gangArrivals: ArrayDeque<GangArrival> get() = jobArrivals.gangs

    val machineTypes: Collection<MachineType> get() = machineTypeList()
    val termPrecondition: Precondition get() = Precondition(Keys.shard(index.value), term)

    /** The token of commands to this machine's worker. */
    fun tokenFor(machine: Machine): Long = maxOf(token, machine.raisedTo)

    fun machineTypeOf(typeName: String): MachineType? = machineTypes.firstOrNull { it.label == typeName }

    /** How soon the machine type that is up first of those in the shard is up, in seconds; null without machines. */
    fun shortestBootS(): Double? = machines.values.mapNotNull { it.machineType?.bootS }.minOrNull()

    fun usedCpus(team: TeamId): Double = usedCpus[team.value]

    fun place(placement: Placement) {
        placement.job.add(placement)
        count(placement, +1)
    }

    /** There is evidence that the attempt is over. */
    fun finish(placement: Placement, done: Boolean) {
        val job = placement.job
        if (job.pendingCount == 0) job.waitsSince = clock.now()
        preemptedFor.remove(placement)?.let { it.preempting-- }
        job.remove(placement, done)
        if (job.placedCount == 0) {
            job.idleSince = clock.now()
            if (hasRun(placement, done)) job.underservedSince = clock.now()
        }
        if (job.spec.gang && !done && job.placedCount > 0) incompleteGangs.add(job)
        markDirty(job.chunkOf(placement.task))
        count(placement, -1)
        if (placement.machine.placements.isEmpty()) placement.machine.emptySince = clock.now()
        passRequested = true
    }

    /** Whether the attempt ran long enough to count as service of its job: one that was stopped at once does not. */
    private fun hasRun(placement: Placement, done: Boolean) =
        done || (placement.running && clock.now() - placement.runningSince >= COUNTS_AS_RUN_MS)

    /** A chunk differs from what is stored. */
    fun markDirty(chunk: Chunk) {
        chunk.dirty = true
        chunk.page?.markDirty(clock.now())
        changed.add(chunk.job)
    }

    /** Jobs to look at when storing: what is stored of them, or whether they are over, may have changed. */
    val changed = LinkedHashSet<Job>()

    private fun count(placement: Placement, sign: Int) {
        val team = placement.job.team.value
        usedCpus[team] += sign * placement.job.spec.cpus
        usedGpus[team] += sign * placement.job.spec.gpus
    }

    /** Charges funded work that was seen on its machine for the last [seconds]. */
    fun charge(seconds: Double) {
        val sums = DoubleArray(settings.teams.size)
        for (machine in machines.values) {
            val machineType = machine.machineType ?: continue
            for (placement in machine.placements.values) {
                if (placement.seen &&
                    placement.job.spec.priority.isFunded
                ) {
                    sums[placement.job.team.value] +=
                        charge(placement.job.spec, machineType)
                }
            }
        }
        val wall = clock.wall()
        for (team in teams) if (sums[team.value] > 0) usage.charge(team, sums[team.value] * seconds, wall)
    }

    /** The largest share of the machine, in that machine's CPUs, so that machines of different sizes add up. */
    private fun charge(spec: JobSpec, machineType: MachineType): Double {
        val share =
            maxOf(
                if (machineType.cpus > 0) spec.cpus / machineType.cpus else 0.0,
                if (machineType.gpus > 0) spec.gpus / machineType.gpus else 0.0,
                if (machineType.memoryGb > 0) spec.memoryGb / machineType.memoryGb else 0.0,
            )
        return share * machineType.cpus
    }

    // ---- teams ------------------------------------------------------------------------------------------------------

    /** Charged use over the window against what the team is allocated for it. */
    fun ratio(team: TeamId, nowMs: Long): Double {
        val share = settings.teams[team.value]
        val allocated = if (share.cpus > 0) share.cpus else share.gpus
        // What runs now counts for the next minute too, so that a burst of decisions sees its own effect.
        val soon = usedCpus[team.value] * LOOKAHEAD_S
        return if (allocated <=
            0.0
        ) {
            Double.MAX_VALUE
        } else {
            (usage.within(team, nowMs) + soon) / (allocated * tuning.windowS)
        }
    }

    /** Whether one more task of this shape is within the team's guarantee. */
    fun isWithinGuarantee(team: TeamId, spec: JobSpec): Boolean {
        val share = settings.teams[team.value]
        return usedCpus[team.value] + spec.cpus <= share.cpus + Machine.EPSILON &&
            (spec.gpus == 0.0 || usedGpus[team.value] + spec.gpus <= share.gpus + Machine.EPSILON)
    }

    /** Whether all tasks of a gang are within the team's guarantee. */
    fun isGangWithinGuarantee(job: Job): Boolean {
        val share = settings.teams[job.team.value]
        return usedCpus[job.team.value] + job.spec.cpus * job.spec.taskCount <= share.cpus + Machine.EPSILON &&
            (
                job.spec.gpus == 0.0 ||
                    usedGpus[job.team.value] + job.spec.gpus * job.spec.taskCount <= share.gpus + Machine.EPSILON
                )
    }

    fun isBeyondGuarantee(team: TeamId): Boolean =
        usedCpus[team.value] > settings.teams[team.value].cpus + Machine.EPSILON

    /** How many more tasks of this shape the team's limit allows. */
    fun remainingQuota(job: Job): Int {
        val share = settings.teams[job.team.value]
        var most = Int.MAX_VALUE
        if (share.maxCpus > 0 && job.spec.cpus > 0) {
            most = minOf(most, ((share.maxCpus - usedCpus[job.team.value] + Machine.EPSILON) / job.spec.cpus).toInt())
        }
        if (share.maxGpus > 0 && job.spec.gpus > 0) {
            most = minOf(most, ((share.maxGpus - usedGpus[job.team.value] + Machine.EPSILON) / job.spec.gpus).toInt())
        }
        return maxOf(0, most)
    }

    fun deadlineMs(job: Job): Long {
        val due =
            job.spec.deadlineS
                ?: settings.objectives.firstOrNull {
                    it.kind == "finished" && it.jobClass == job.spec.jobClass
                }?.withinS
        return if (due == null) job.acceptedAtMs else job.acceptedAtMs + (due * 1000).toLong()
    }

    fun isPastDeadline(job: Job): Boolean =
        clock.wall() > deadlineMs(job) + if (job.spec.deadlineS == null) LATE_WITHOUT_DUE_MS else 0L

    /**
     * Nothing of it runs, or a service lacks replicas, and has for so long that what a machine costs, whose room it is
     * or where it failed counts no more: with room for it somewhere it must not be left waiting for 90 s.
     *
     * Not sooner: at 30 s, a swarm of small jobs took the room that services were to find.
     */
    fun isStarving(job: Job): Boolean = isNearlyStarving(job) && starvingSince(job) < clock.now() - STARVING_MS

    /**
     * No task of it has run for longer than a moment for so long that its next task comes before other work of its
     * team.
     */
    fun isUnderserved(job: Job): Boolean = underservedForMs(job) > STARVING_MS

    /** As [isUnderserved], for so long that its next task yields to nothing. */
    fun isOverdue(job: Job): Boolean = underservedForMs(job) > OVERDUE_MS

    /**
     * How long a job that waits has got nothing that lasted, a service: lacked replicas; 0 if it does not wait for
     * that.
     */
    fun underservedForMs(job: Job): Long {
        if (job.pendingCount <= 0 || isSuspectedFaulty(job)) return 0L
        return when {
            job.spec.service -> clock.now() - job.waitsSince
            job.placedCount == 0 -> clock.now() - job.underservedSince
            else -> 0L
        }
    }

    /** It may starve before a machine of another shard is emptied for it, so that is thought of sooner. */
    fun isNearlyStarving(job: Job): Boolean =
        job.pendingCount > 0 && !isSuspectedFaulty(job) && starvingSince(job) < clock.now() - NEARLY_STARVING_MS

    /** Since when the job lacks what it must not lack for long; in the future if it does not. */
    fun starvingSince(job: Job): Long = when {
        job.spec.service -> job.waitsSince
        job.placedCount == 0 -> job.idleSince
        else -> Long.MAX_VALUE
    }

    fun isLatencySensitive(job: Job) = job.spec.service || job.spec.gang ||
        settings.objectives.any { it.kind == "wait" && it.jobClass == job.spec.jobClass }

    /** It failed on several machines in a row: the job has a mistake, and the machines have not. */
    fun isSuspectedFaulty(job: Job) = job.failures >= FAILURES_OF_FAULTY_JOB

    /** When a worker's report is overdue: reports go out a quarter early or late. */
    val heartbeatLateMs: Long = (settings.workers.reportS * 1250).toLong() + REPORT_SLACK_MS

    private companion object {
        const val LOOKAHEAD_S = 60.0
        const val LATE_WITHOUT_DUE_MS = 120_000L
        const val STARVING_MS = 60_000L
        const val NEARLY_STARVING_MS = 30_000L

        /** Half of the time within which the largest jobs must have begun. */
        const val OVERDUE_MS = 120_000L

        /** A start counts for users if no command stops the task for this long. */
        const val COUNTS_AS_RUN_MS = 30_000L
        const val FAILURES_OF_FAULTY_JOB = 4
        const val REPORT_SLACK_MS = 1_000L
    }
}

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
import io.reedmast.wire.MachineType

/**
 * What an owner knows of its shard. The duties around it (heartbeats, commands, scheduling, persistence, machine
 * lifecycle, autoscaling) read and change it, all on the deciding thread.
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
    /** Which limits of the store hold for this process. */
    val limits: EffectiveLimits = EffectiveLimits(settings.storeLimits, settings.nextStoreLimits),
    /** The gates of the rollout as they now stand. */
    val gates: () -> GateSnapshot = { GateSnapshot.NONE },
) {
    /** The fencing token under which the shard's workers are commanded. */
    var token = 0L

    /** The version of the shard's record: every write of the owner is conditional on it. */
    var term = 0L

    /** Whether the shard has been restored, so that decisions may be made. */
    var active = false

    /** When the shard became [active]. */
    var activeAt = 0L

    /** Set when another owner has acquired the shard: answers that still come in are ignored. */
    var dropped = false

    /** The shard's unfinished jobs, by id, in the order in which they became known. */
    val jobs = LinkedHashMap<String, Job>()

    /** The shard's machines, by name; one that only a stored placement names is among them until it is returned. */
    val machines = LinkedHashMap<String, Machine>()

    /** The teams whose jobs belong to the shard. */
    val teams = settings.teams.indices.map { TeamId(it) }.filter { settings.shardOf(it) == index }

    /** What the teams' placements take, against their guarantees and limits. */
    val quota = TeamQuota(settings)

    /** What the teams have used lately, against what they are allocated. */
    val fairShare = FairShare(settings, tuning, clock, quota, teams)

    /** Which jobs are late, starving or underserved. */
    val urgency = JobUrgency(settings, clock)

    /** For which job a placement is being preempted: that many tasks of the job need no other candidate. */
    val preemptedFor = HashMap<Placement, Job>()

    /** When machines of a zone were given up because they missed heartbeats or never came up, by zone. */
    val lostMachinesByZone = HashMap<String, ArrayDeque<Long>>()

    /** Until then nothing is placed: what runs is not fully known. */
    var schedulingPassNotBefore = 0L

    /** Gangs that have lost a task, what is left of which is to be stopped. */
    val incompleteGangs = LinkedHashSet<Job>()

    /** Something has changed that may let waiting work start. */
    var schedulingPassRequested = false

    /** Jobs to look at when storing: what is stored of them, or whether they are over, may have changed. */
    val changedJobs = LinkedHashSet<Job>()

    /** The jobs that came lately. */
    val jobArrivals = JobArrivals()

    /** How long after the last heartbeat the next one is late: heartbeats go out a quarter early or late. */
    val heartbeatLateMs: Long = (settings.workers.reportS * MAX_HEARTBEAT_INTERVAL_MS_PER_S).toLong() + REPORT_SLACK_MS

    /** The cloud's machine types as they are now known. */
    val machineTypes: Collection<MachineType> get() = machineTypeList()

    /** The precondition of every write of the owner: that no other has acquired the shard. */
    val termPrecondition: Precondition get() = Precondition(Keys.shard(index.value), term)

    /** The token of commands to this machine's worker. */
    fun tokenFor(machine: Machine): Long = maxOf(token, machine.raisedToken)

    /** The machine type of this name, null if the cloud does not offer it. */
    fun machineTypeOf(typeName: String): MachineType? = machineTypes.firstOrNull { it.label == typeName }

    /** How soon the machine type that is up first of those in the shard is up, in seconds; null without machines. */
    fun shortestBootS(): Double? = machines.values.mapNotNull { it.machineType?.bootS }.minOrNull()

    /** Adds a placement, which counts from now on. */
    fun place(placement: Placement) {
        placement.job.add(placement)
        quota.add(placement.job)
    }

    /** There is evidence that the attempt is over; [done] if it completed its task. */
    fun finish(placement: Placement, done: Boolean) {
        val job = placement.job
        if (job.pendingCount == 0) job.waitingSince = clock.now()
        preemptedFor.remove(placement)?.let { it.pendingPreemptions-- }
        job.remove(placement, done)
        if (job.placedCount == 0) {
            job.unplacedSince = clock.now()
            if (hasRun(placement, done)) job.underservedSince = clock.now()
        }
        if (job.spec.isGang && !done && job.placedCount > 0) incompleteGangs.add(job)
        markDirty(job.chunkOf(placement.task))
        quota.remove(job)
        if (placement.machine.placements.isEmpty()) placement.machine.emptySince = clock.now()
        schedulingPassRequested = true
    }

    /** Whether the attempt ran long enough to count as service of its job: one that was stopped at once does not. */
    private fun hasRun(placement: Placement, done: Boolean) =
        done || (placement.running && clock.now() - placement.runningSince >= COUNTS_AS_RUN_MS)

    /** A chunk differs from what is stored. */
    fun markDirty(chunk: Chunk) {
        chunk.dirty = true
        chunk.page?.markDirty(clock.now())
        changedJobs.add(chunk.job)
    }

    private companion object {
        /** Milliseconds in the longest interval between heartbeats, for each second of the one that is set. */
        const val MAX_HEARTBEAT_INTERVAL_MS_PER_S = 1250
        const val REPORT_SLACK_MS = 1_000L

        /** A start counts for users if no command stops the task for this long. */
        const val COUNTS_AS_RUN_MS = 30_000L
    }
}

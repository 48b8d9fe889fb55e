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
 * The state of a shard, as known to its owner. Heartbeat handling, commands, scheduling, persistence, machine lifecycle
 * and autoscaling read and change it, all on the event loop.
 *
 * Nothing in it is assumed: a placement counts from the decision until there is evidence that its attempt is over.
 */
class ShardState(
    val index: ShardId,
    val settings: Settings,
    val tuning: Tuning,
    val clock: Clock,
    private val machineTypeList: () -> Collection<MachineType>,
    /** Whether this controller's view of the store is recent enough to act on. */
    val isCurrent: () -> Boolean,
    /** The limits of the store that apply to this process. */
    val limits: EffectiveLimits = EffectiveLimits(settings.storeLimits, settings.nextStoreLimits),
    /** The current gates of the rollout. */
    val gates: () -> GateSnapshot = { GateSnapshot.NONE },
) {
    /** The fencing token under which commands are sent to the shard's workers. */
    var token = 0L

    /** The version of the shard's record; every write of the owner is conditional on it. */
    var term = 0L

    /** Whether the shard has been restored from the store, so that decisions may be made. */
    var active = false

    /** When the shard became [active]. */
    var activeAt = 0L

    /** Set when another owner has acquired the shard; replies that arrive afterwards are ignored. */
    var dropped = false

    /** The shard's unfinished jobs, by id, in the order in which they became known. */
    val jobs = LinkedHashMap<String, Job>()

    /** The shard's machines, by name, including those known only from a stored placement until they are returned. */
    val machines = LinkedHashMap<String, Machine>()

    /** The teams whose jobs belong to the shard. */
    val teams = settings.teams.indices.map { TeamId(it) }.filter { settings.shardOf(it) == index }

    /** Resources that the teams' placements use, compared with their guaranteed quotas and limits. */
    val quota = TeamQuota(settings)

    /** The number of placements, compared with what the owner may hold. */
    val placementLimits = PlacementLimits(tuning.maxPlacements / settings.shardCount, settings.teams.size)

    /** Recent usage of the teams, compared with their allocations. */
    val fairShare = FairShare(settings, tuning, clock, quota, teams)

    /** Decides which jobs are past their deadline, starving or underserved. */
    val urgency = JobUrgency(settings, clock)

    /** The job for which each placement is being preempted; that many of its tasks need no other candidate. */
    val preemptedFor = HashMap<Placement, Job>()

    /** Times at which machines were decommissioned because they missed heartbeats, by zone. */
    val lostMachinesByZone = HashMap<String, ArrayDeque<Long>>()

    /** No scheduling pass takes place before this time, because not all running tasks are known. */
    var schedulingPassNotBefore = 0L

    /** Gangs that have lost a task and whose other tasks are to be stopped. */
    val incompleteGangs = LinkedHashSet<Job>()

    /** Whether something has changed that may let waiting work start. */
    var schedulingPassRequested = false

    /** Jobs to check at the next write to the store: their progress may have changed, or they may have finished. */
    val changedJobs = LinkedHashSet<Job>()

    /** The jobs that arrived recently. */
    val jobArrivals = JobArrivals()

    /** How long after a heartbeat the next one counts as late. Workers vary the interval by up to a quarter. */
    val heartbeatLateMs: Long =
        (settings.workers.heartbeatIntervalS * MAX_HEARTBEAT_INTERVAL_MS_PER_S).toLong() + HEARTBEAT_SLACK_MS

    /** The cloud's machine types, as currently known. */
    val machineTypes: Collection<MachineType> get() = machineTypeList()

    /** The precondition of every write of the owner: no other controller has acquired the shard. */
    val termPrecondition: Precondition get() = Precondition(Keys.shard(index.value), term)

    /** The token under which commands are sent to this machine's worker. */
    fun tokenFor(machine: Machine): Long = maxOf(token, machine.raisedToken)

    /** The machine type with this name; null if the cloud does not offer it. */
    fun machineTypeOf(typeName: String): MachineType? = machineTypes.firstOrNull { it.label == typeName }

    /** The shortest boot time among the types of the shard's machines, in seconds; null if there are none. */
    fun shortestBootS(): Double? = machines.values.mapNotNull { it.machineType?.bootS }.minOrNull()

    /** Adds a placement, which counts from now on. */
    fun place(placement: Placement) {
        placement.job.add(placement)
        quota.add(placement.job)
        placementLimits.recordPlaced(placement)
    }

    /** Records that the store holds a placement, which may have ended meanwhile. */
    fun recordStored(placement: Placement) {
        if (placement.committed) return
        placement.committed = true
        if (placement.job.isCurrent(placement)) placementLimits.recordStored(placement)
    }

    /**
     * Ends a placement whose attempt is known to be over; [done] if it completed its task.
     *
     * Does nothing if the placement has ended already: the return of its machine and the outcome of its write, for
     * example, may both end it, in either order.
     */
    fun finish(placement: Placement, done: Boolean) {
        val job = placement.job
        if (!job.isCurrent(placement)) return
        if (job.pendingCount == 0) job.waitingSince = clock.now()
        preemptedFor.remove(placement)?.let { it.pendingPreemptions-- }
        job.remove(placement, done)
        if (job.placedCount == 0) {
            job.unplacedSince = clock.now()
            if (ranLongEnough(placement, done)) job.underservedSince = clock.now()
        }
        if (job.spec.isGang && !done && job.placedCount > 0) incompleteGangs.add(job)
        markDirty(job.chunkOf(placement.task))
        quota.remove(job)
        placementLimits.recordEnded(placement)
        if (placement.machine.placements.isEmpty()) placement.machine.emptySince = clock.now()
        schedulingPassRequested = true
    }

    /** Whether the attempt ran long enough to count as service of its job; one that was stopped at once did not. */
    private fun ranLongEnough(placement: Placement, done: Boolean) =
        done || (placement.running && clock.now() - placement.runningSince >= MIN_COUNTED_RUN_MS)

    /** Records that a chunk differs from its stored value. */
    fun markDirty(chunk: Chunk) {
        chunk.dirty = true
        chunk.page?.markDirty(clock.now())
        changedJobs.add(chunk.job)
    }

    private companion object {
        /** The longest interval between heartbeats, in milliseconds per second of the configured interval. */
        const val MAX_HEARTBEAT_INTERVAL_MS_PER_S = 1250
        const val HEARTBEAT_SLACK_MS = 1_000L

        /** The start of a task counts for users if no command stops it for this long. */
        const val MIN_COUNTED_RUN_MS = 30_000L
    }
}

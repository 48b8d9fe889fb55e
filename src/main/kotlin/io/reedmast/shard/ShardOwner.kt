package io.reedmast.shard

import io.reedmast.autoscaling.ArrivalRates
import io.reedmast.autoscaling.DemandEstimator
import io.reedmast.autoscaling.ScaleInPolicy
import io.reedmast.autoscaling.UsageSummaryWriter
import io.reedmast.commands.CancelledTaskStops
import io.reedmast.commands.CommandDispatcher
import io.reedmast.gangs.GangCoordinator
import io.reedmast.heartbeats.HeartbeatHandler
import io.reedmast.heartbeats.HeartbeatResult
import io.reedmast.jobs.JobListener
import io.reedmast.jobs.LiveJob
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.StoredItem
import io.reedmast.machines.MachineLifecycle
import io.reedmast.machines.MachineLifecycleRequests
import io.reedmast.model.ShardRecord
import io.reedmast.model.ShardState
import io.reedmast.persistence.ProgressStore
import io.reedmast.ports.Clock
import io.reedmast.ports.Gateway
import io.reedmast.rollout.MigrationUnit
import io.reedmast.scheduling.Scheduler
import io.reedmast.settings.Settings
import io.reedmast.settings.ShardId
import io.reedmast.settings.Tuning
import io.reedmast.wire.MachineType
import io.reedmast.wire.WorkerStatus
import org.slf4j.LoggerFactory

/**
 * The owner of one shard: connects the components that serve the shard (heartbeats and commands, scheduling,
 * persistence, machine lifecycle, autoscaling) and runs them in order.
 *
 * All of it runs on the event loop. Handling a message only marks what has changed; decisions, writes and commands
 * follow in [reconcile], at a bounded rate, so that the work per heartbeat does not grow with the shard.
 */
class ShardOwner(
    override val index: ShardId,
    settings: Settings,
    tuning: Tuning,
    private val clock: Clock,
    gateway: Gateway,
    limits: EffectiveLimits,
    machineTypes: () -> Collection<MachineType>,
    isCurrent: () -> Boolean,
    private val records: ShardRecords,
) : JobListener {
    private val log = LoggerFactory.getLogger("shard")
    private val shard = index.value

    /** The state of the shard as known to this owner, shared by its components. */
    val shardState =
        ShardState(index, settings, tuning, clock, machineTypes, isCurrent, limits) { records.rollout.gates }
    private val cancelledTaskStops = CancelledTaskStops(records.jobs::isCancelledOrEnded)
    private val dispatcher =
        CommandDispatcher(shardState, gateway, gateway, cancelledTaskStops) { machine, status ->
            heartbeats.onStatusReport(machine, status)
        }
    private val gangs = GangCoordinator(shardState, dispatcher)
    private val heartbeats: HeartbeatHandler =
        HeartbeatHandler(shardState, dispatcher, gangs, records.jobs::isCancelledOrEnded) { records.renewToken(index) }
    private val arrivals = ArrivalRates(shardState)
    private val demandEstimator = DemandEstimator(shardState, arrivals)
    private val scaleInPolicy = ScaleInPolicy(shardState, arrivals)
    private val usageSummaryWriter =
        UsageSummaryWriter(
            shardState,
            gateway,
            demandEstimator,
            scaleInPolicy,
            { records.machinesVersion(index) },
            { records.refreshShardRecord(index) },
        )

    /** Decides which tasks are placed on which machines. */
    val scheduler = Scheduler(shardState, dispatcher, demandEstimator, scaleInPolicy)
    private val jobs = ShardJobs(shardState, dispatcher) { progressStore.forget(it) }
    private val progressStore: ProgressStore =
        ProgressStore(shardState, gateway, StoredProgressListener(shardState, dispatcher, jobs, records))
    private val lifecycle =
        MachineLifecycle(shardState, gateway, dispatcher, scaleInPolicy, LifecycleRequests())
    private val migrationReconciler = records.rollout.reconciler(
        MigrationUnit.Shard(shard),
        progressStore.migrationAccess,
    )
    private val machines = ShardMachines(shardState, lifecycle, records)
    private val restoration =
        ShardRestoration(shardState, jobs, machines, progressStore, usageSummaryWriter, gangs)
    private val jobIndexComparison = JobIndexComparison(shardState, jobs, records)
    private val usageCharging = UsageCharging(shardState)
    private val statusPublisher = ShardStatusPublisher(shardState, gateway, records)

    /** The fencing token under which this owner commands the shard's workers. */
    val token: Long get() = shardState.token

    /** The token in the answers to this machine's heartbeats. */
    fun tokenFor(machineName: String): Long =
        shardState.machines[machineName]?.let { shardState.tokenFor(it) } ?: shardState.token

    /** Whether the shard has been restored. */
    val active: Boolean get() = shardState.active

    /** Set when another owner has acquired the shard; replies that arrive afterwards are ignored. */
    var dropped: Boolean
        get() = shardState.dropped
        set(value) {
            shardState.dropped = value
        }

    /**
     * Whether the shard is to be restored again: progress that was read before the reduced limits were known to apply
     * is in parts that these do not allow.
     */
    val needsReload: Boolean get() = active && !dropped && progressStore.needsReload

    /**
     * Whether all decisions are stored and no write of a migration is in flight, so that another controller can acquire
     * the shard without losing anything.
     */
    val isReadyForHandover: Boolean
        get() = active && progressStore.areDecisionsStored && !migrationReconciler.isWriteInFlight

    /**
     * Restores the shard from its stored records and begins to act as its owner. The caller must have listed [pages]
     * after this owner's token was stored, and [live] must be at least as new as that listing.
     */
    fun restore(live: List<LiveJob>, pages: List<StoredItem>, usageSummary: StoredItem?) {
        restoration.restore(live, pages, usageSummary)
        shardState.active = true
        shardState.activeAt = clock.now()
        shardState.schedulingPassRequested = true
        dispatcher.start()
        log.info(
            "shard {}: acquired, token {}, {} jobs, {} machines",
            shard,
            token,
            shardState.jobs.size,
            shardState.machines.size,
        )
    }

    /**
     * Applies the current record of the shard, whose token may have been raised for a machine that moves to this shard.
     * A record of an earlier [term] is ignored.
     */
    fun sync(record: ShardRecord, term: Long) {
        if (term < shardState.term) return
        // The token was raised for machines that move to this shard. The worker of one that is already known, from the
        // same change, must report the new token: until then, what its old owner has sent may still arrive there.
        if (record.token > shardState.token) {
            shardState.machines.values.forEach { if (it.sequence < 0) it.minimumToken = record.token }
        }
        shardState.token = record.token
        shardState.term = term
    }

    /** Called when the machines in the shard's records may have changed. */
    fun syncMachines() = machines.syncWithRecords()

    /** Called when the cloud's machine types or their prices have changed. */
    fun onMachineTypesChanged() = machines.onMachineTypesChanged()

    override fun onJobChanged(live: LiveJob) = jobs.onJobChanged(live)

    override fun onJobGone(jobId: String) = jobs.onJobGone(jobId)

    /** Processes a worker's status and decides on the answer to it. */
    fun onHeartbeat(status: WorkerStatus): HeartbeatResult = heartbeats.onHeartbeat(status)

    /**
     * Brings decisions, stored records and commands up to date after something has changed; called every few
     * milliseconds.
     */
    fun reconcile() {
        if (!active || dropped) return
        val now = clock.now()
        gangs.reconcile()
        scheduler.runPassIfDue(now)
        progressStore.flush(now)
        dispatcher.send()
    }

    /** Runs the periodic work that is due; called about four times a second. */
    fun runOnce() {
        if (!active || dropped) return
        val now = clock.now()
        migrateRecords()
        jobIndexComparison.runIfDue(now)
        usageCharging.runIfDue(now)
        dispatcher.announceToken(now)
        dispatcher.pollContestedMachines(now)
        lifecycle.runOnce(now)
        requestPassForPendingTasks()
        writeUsageSummary(now)
        statusPublisher.publishIfDue(now)
    }

    private fun migrateRecords() {
        if (!shardState.isCurrent()) return
        migrationReconciler.runOnce(records.rollout.gates, shardState.termPrecondition, records.rollout.view)
    }

    /**
     * Requests a scheduling pass if any task is pending. Time alone may let it start: after the pause that follows a
     * failure, or once it has waited long enough to preempt others.
     */
    private fun requestPassForPendingTasks() {
        if (shardState.jobs.values.any { it.pendingCount > 0 }) shardState.schedulingPassRequested = true
    }

    /**
     * Runs even if the store has not answered for a moment: the demand computed now is written as soon as the store
     * answers again.
     */
    private fun writeUsageSummary(now: Long) {
        if (records.rollout.isAdmitted) usageSummaryWriter.runOnce(now)
    }

    private inner class LifecycleRequests : MachineLifecycleRequests {
        override fun removeMachines(machineNames: Set<String>) = records.removeMachines(index, machineNames)

        override fun transferMachines(machineNames: Collection<String>) = records.transferMachines(index, machineNames)

        override fun releaseContested(machineNames: Collection<String>) = records.releaseContested(index, machineNames)

        override fun requestFailover() = records.requestFailover(index)
    }
}

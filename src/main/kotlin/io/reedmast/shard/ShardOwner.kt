package io.reedmast.shard

import io.reedmast.autoscaling.ArrivalRates
import io.reedmast.autoscaling.DemandEstimator
import io.reedmast.autoscaling.ScaleInPolicy
import io.reedmast.autoscaling.UsageSummaryWriter
import io.reedmast.commands.CommandDispatcher
import io.reedmast.gangs.GangCoordinator
import io.reedmast.heartbeats.HeartbeatHandler
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
import io.reedmast.wire.WorkerCommand
import io.reedmast.wire.WorkerStatus
import org.slf4j.LoggerFactory

/**
 * The owner of one shard: joins the duties of the shard (heartbeats and commands, scheduling, persistence, machine
 * lifecycle, autoscaling) and runs them in order.
 *
 * All of it runs on the deciding thread. A message only marks what it has changed; decisions, storing and commands
 * follow in [reconcile], at a bounded rate, so that the work for a heartbeat does not grow with the shard.
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

    /** What this owner knows of the shard; shared by its duties. */
    val shardState =
        ShardState(index, settings, tuning, clock, machineTypes, isCurrent, limits) { records.rollout.gates }
    private val dispatcher =
        CommandDispatcher(shardState, gateway, gateway) { machine, status ->
            heartbeats.onStatusReport(machine, status)
        }
    private val gangs = GangCoordinator(shardState, dispatcher)
    private val heartbeats: HeartbeatHandler =
        HeartbeatHandler(shardState, dispatcher, gangs, ::isKnownOver) { records.renewToken(index) }
    private val arrivals = ArrivalRates(shardState)
    private val demandEstimator = DemandEstimator(shardState, arrivals)
    private val scaleInPolicy = ScaleInPolicy(shardState, arrivals)
    private val usageSummaryWriter =
        UsageSummaryWriter(shardState, gateway, demandEstimator, scaleInPolicy, {
            records.machinesVersion(index)
        }, { records.refreshShardRecord(index) })

    /** Decides what runs where. */
    val scheduler = Scheduler(shardState, dispatcher, demandEstimator, scaleInPolicy)
    private val jobs = ShardJobs(shardState, dispatcher) { progressStore.forget(it) }
    private val progressStore: ProgressStore =
        ProgressStore(shardState, gateway, StoredProgressListener(shardState, dispatcher, jobs, records))
    private val lifecycle =
        MachineLifecycle(shardState, gateway, dispatcher, scaleInPolicy, RequestsForMachines())
    private val migration = records.rollout.reconciler(MigrationUnit.Shard(shard), progressStore.migrationAccess)
    private val machines = ShardMachines(shardState, lifecycle, records)
    private val restoration =
        ShardRestoration(shardState, jobs, machines, progressStore, usageSummaryWriter, gangs)
    private val jobIndexComparison = JobIndexComparison(shardState, jobs, records)
    private val usageCharging = UsageCharging(shardState)
    private val statusPublisher = ShardStatusPublisher(shardState, gateway, records)

    /** The fencing token under which this owner commands the shard's workers. */
    val token: Long get() = shardState.token

    /** The token that answers to this machine's heartbeats carry. */
    fun tokenFor(machineName: String): Long =
        shardState.machines[machineName]?.let { shardState.tokenFor(it) } ?: shardState.token

    /** Whether the shard has been restored. */
    val active: Boolean get() = shardState.active

    /** Set when another owner has acquired the shard: answers that still come in are ignored. */
    var dropped: Boolean
        get() = shardState.dropped
        set(value) {
            shardState.dropped = value
        }

    /**
     * Whether it holds progress in parts that the reduced limits do not allow, read before these were known to hold.
     */
    val needsReload: Boolean get() = active && !dropped && progressStore.needsReload

    /**
     * Whether nothing of what was decided here is yet to be stored: the shard may then change hands without a trace.
     */
    val isReadyForHandover: Boolean get() = active && progressStore.areDecisionsStored && !migration.isWriteInFlight

    /**
     * Restores the shard from what is stored of it, and begins to act: [pages] were listed, and [live] is at least as
     * new, after our token was stored.
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
     * Follows the shard's record as it now stands: our token may have been raised for a machine that moves here. A
     * record of an earlier [term] is ignored.
     */
    fun sync(record: ShardRecord, term: Long) {
        if (term < shardState.term) return
        // The token was raised for machines that move here. One that we know of already, from the same change, must
        // show it: what its old owner has sent may arrive until then.
        if (record.token > shardState.token) {
            shardState.machines.values.forEach { if (it.sequence < 0) it.minimumToken = record.token }
        }
        shardState.token = record.token
        shardState.term = term
    }

    /** The records may name other machines for the shard. */
    fun syncMachines() = machines.syncWithRecords()

    /** The cloud's machine types, or their prices, have changed. */
    fun onMachineTypesChanged() = machines.onMachineTypesChanged()

    override fun onJobChanged(live: LiveJob) = jobs.onJobChanged(live)

    override fun onJobGone(jobId: String) = jobs.onJobGone(jobId)

    /** Takes in a worker's status and returns the commands that its answer carries. */
    fun onHeartbeat(status: WorkerStatus): List<WorkerCommand> = heartbeats.onHeartbeat(status)

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

    /** Does what is due by time; called about four times a second. */
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

    /** Whether the job is known to be cancelled or over, whichever shard it belongs to. */
    private fun isKnownOver(jobId: String): Boolean {
        val live = records.jobs.liveJob(jobId)
        return if (live == null) records.jobs.ended[jobId] != null else live.record.isCancelled
    }

    private fun migrateRecords() {
        if (!shardState.isCurrent()) return
        migration.runOnce(records.rollout.gates, shardState.termPrecondition, records.rollout.view)
    }

    /** Waiting may itself let work start: after a failure's pause, or once it has waited long enough to preempt. */
    private fun requestPassForPendingTasks() {
        if (shardState.jobs.values.any { it.pendingCount > 0 }) shardState.schedulingPassRequested = true
    }

    /**
     * Also while this controller has not heard the store for a moment: the demand that it computes goes out as soon as
     * the store answers again.
     */
    private fun writeUsageSummary(now: Long) {
        if (records.rollout.isAdmitted) usageSummaryWriter.runOnce(now)
    }

    private inner class RequestsForMachines : MachineLifecycleRequests {
        override fun removeMachines(machineNames: Set<String>) = records.removeMachines(index, machineNames)

        override fun transferMachines(machineNames: Collection<String>) = records.transferMachines(index, machineNames)

        override fun releaseContested(machineNames: Collection<String>) = records.releaseContested(index, machineNames)

        override fun requestFailover() = records.requestFailover(index)
    }
}

package io.reedmast.shard

import io.reedmast.autoscaling.ArrivalRates
import io.reedmast.autoscaling.DemandEstimator
import io.reedmast.autoscaling.ScaleInPolicy
import io.reedmast.autoscaling.UsageSummaryWriter
import io.reedmast.commands.CommandDispatcher
import io.reedmast.gangs.GangCoordinator
import io.reedmast.heartbeats.HeartbeatHandler
import io.reedmast.jobs.EndRecord
import io.reedmast.jobs.JobListener
import io.reedmast.jobs.LiveJob
import io.reedmast.jobs.LiveRecord
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.StoredItem
import io.reedmast.machines.MachineLifecycle
import io.reedmast.machines.MachineLifecycleRequests
import io.reedmast.model.Job
import io.reedmast.model.Placement
import io.reedmast.model.ShardRecord
import io.reedmast.model.ShardState
import io.reedmast.model.StopReason
import io.reedmast.persistence.PageForm
import io.reedmast.persistence.ProgressListener
import io.reedmast.persistence.ProgressStore
import io.reedmast.ports.Clock
import io.reedmast.ports.Gateway
import io.reedmast.rollout.MigrationUnit
import io.reedmast.scheduling.Scheduler
import io.reedmast.settings.Settings
import io.reedmast.settings.ShardId
import io.reedmast.settings.Tuning
import io.reedmast.wire.MachineType
import io.reedmast.wire.MalformedException
import io.reedmast.wire.WorkerCommand
import io.reedmast.wire.WorkerStatus
import org.slf4j.LoggerFactory

/**
 * The work of one shard's owner, joined from its duties: reports and commands, placing, storing, upkeep, demand.
 *
 * All of it runs on the deciding thread. A message only marks what it has changed; decisions, storing and commands
 * follow in [reconcile], at a bounded rate, so that the work for a report does not grow with the shard.
 */
class ShardOwner(
    override val index: ShardId,
    private val settings: Settings,
    tuning: Tuning,
    private val clock: Clock,
    private val gateway: Gateway,
    private val limits: EffectiveLimits,
    machineTypes: () -> Collection<MachineType>,
    isCurrent: () -> Boolean,
    private val records: ShardRecords,
) : JobListener {
    private val log = LoggerFactory.getLogger("shard")
    private val shard = index.value
    val shardState =
        ShardState(index, settings, tuning, clock, machineTypes, isCurrent, limits) { records.rollout.gates }
    private val dispatcher =
        CommandDispatcher(shardState, gateway, gateway) { machine, status ->
            heartbeats.onStatusReport(machine, status)
        }
    private val gangs = GangCoordinator(shardState, dispatcher)
    private val heartbeats: HeartbeatHandler =
        HeartbeatHandler(shardState, dispatcher, gangs) { records.renewToken(index) }
    private val arrivals = ArrivalRates(shardState)
    private val demandEstimator = DemandEstimator(shardState, arrivals)
    private val scaleInPolicy = ScaleInPolicy(shardState, arrivals)
    private val usageSummaryWriter =
        UsageSummaryWriter(shardState, gateway, demandEstimator, scaleInPolicy, {
            records.machinesVersion(index)
        }, { records.refresh(index) })
    val scheduler = Scheduler(shardState, dispatcher, demandEstimator, scaleInPolicy)
    private val progressStore = ProgressStore(shardState, gateway, Storing())
    private val lifecycle =
        MachineLifecycle(shardState, gateway, dispatcher, scaleInPolicy, RequestsForMachines())
    private val migration = records.rollout.reconciler(MigrationUnit.Shard(shard), progressStore.migrationAccess)
    private val machines = ShardMachines(shardState, lifecycle, records)
    private val news = ShardStatusPublisher(shardState, gateway, records)

    val token: Long get() = shardState.token

    /** The token that answers to this machine's reports carry. */
    fun tokenFor(machineName: String): Long =
        shardState.machines[machineName]?.let { shardState.tokenFor(it) } ?: shardState.token

    /**
     * Whether it holds progress in parts that the reduced limits do not allow, read before these were known to hold.
     */
    val needsReload: Boolean get() = active && !dropped && progressStore.needsReload

    val active: Boolean get() = shardState.active

    /** Set when another owner has taken the shard: answers that still come in are ignored. */
    var dropped: Boolean
        get() = shardState.dropped
        set(value) {
            shardState.dropped = value
        }

    // ---- taking over ----------------------------------------------------------------------------------------------

    /**
     * Reads what is stored of the shard: [pages] were listed, and [live] is at least as new, after our token was
     * stored.
     */
    fun load(live: List<LiveJob>, pages: List<StoredItem>, totals: StoredItem?) {
        if (pages.any { isSized(it) }) limits.reduce()
        syncMachines()
        totals?.let { usageSummaryWriter.load(it) }
        live.forEach { addJob(it) }
        val chunkSizes = live.associate { it.record.spec.jobId to it.record.chunkSize }
        progressStore.load(pages, chunkSizes) { job, stored ->
            val placement = Placement(job, stored.task, stored.attempt, machines.named(stored.machineName), clock.now())
            placement.committed = true
            shardState.place(placement)
        }
        shardState.jobs.values.forEach { gangs.onRestored(it) }
        shardState.jobs.values.forEach { countWaitFromAcceptance(it) }
        shardState.jobs.values.filter { it.isCancelled }.forEach { stopAll(it) }
        shardState.changed.addAll(shardState.jobs.values)
        shardState.active = true
        shardState.activeAt = clock.now()
        shardState.passRequested = true
        dispatcher.begin()
        log.info(
            "shard {}: acquired, token {}, {} jobs, {} machines",
            shard,
            token,
            shardState.jobs.size,
            shardState.machines.size,
        )
    }

    /** Only what knows that every controller reads such pages stores them. */
    private fun isSized(page: StoredItem) = try {
        PageForm.isSized(page.value)
    } catch (e: MalformedException) {
        // Reported where the page's content is read.
        false
    }

    /**
     * A job that has got nothing so far has waited since its acceptance, whoever owned the shard: else each takeover
     * prolongs its wait.
     */
    private fun countWaitFromAcceptance(job: Job) {
        if (job.placedCount > 0 || job.doneCount > 0) return
        val since = clock.now() - maxOf(0L, clock.wall() - job.acceptedAtMs)
        job.waitsSince = since
        job.idleSince = since
        job.underservedSince = since
    }

    /** Takes up the shard's record as it now stands: our token may have been raised for a machine that moves here. */
    fun sync(record: ShardRecord, term: Long) {
        if (term < shardState.term) return
        // The token was raised for machines that move here. One that we know of already, from the same change, must
        // show it: what its old owner has sent may arrive until then.
        if (record.token >
            shardState.token
        ) {
            shardState.machines.values.forEach { if (it.sequence < 0) it.floor = record.token }
        }
        shardState.token = record.token
        shardState.term = term
    }

    /** Takes up the machines that the records now name for the shard. */
    fun syncMachines() = machines.sync()

    fun machineTypesChanged() = machines.typesChanged()

    // ---- jobs -----------------------------------------------------------------------------------------------------

    /** A job of the shard is new, or its user has cancelled it. While the shard is being read, the index remembers. */
    override fun onJobChanged(live: LiveJob) {
        if (!active) return
        val job = shardState.jobs[live.record.spec.jobId] ?: addJob(live) ?: return
        job.version = maxOf(job.version, live.version)
        if (live.record.isCancelled && !job.isCancelled) {
            job.isCancelled = true
            shardState.changed.add(job)
            stopAll(job)
        }
        shardState.passRequested = true
    }

    private fun addJob(live: LiveJob): Job? {
        val spec = live.record.spec
        val team = settings.teamsByName[spec.teamName]
        if (team == null) {
            log.error("job {}: its team {} is not in the settings", spec.jobId, spec.teamName)
            return null
        }
        val job = Job(spec, team, chunkSizeOf(live.record), live.record.acceptedAtMs, live.version).apply {
            isCancelled =
                live.record.isCancelled
        }
        shardState.jobs[spec.jobId] = job
        shardState.changed.add(job)
        job.waitsSince = clock.now()
        job.idleSince = clock.now()
        job.underservedSince = clock.now()
        if (spec.gang) shardState.gangArrivals.addLast(ShardState.GangArrival(clock.now(), spec))
        if (active) {
            val (arrivals, amount) = if (spec.service || spec.gang) {
                shardState.arrivals to spec.cpus * spec.taskCount
            } else {
                shardState.arrayArrivals to
                    spec.cpus * spec.taskCount * spec.estimateS
            }
            arrivals.addLast(ShardState.Arrival(clock.now(), amount))
        }
        return job
    }

    /** An earlier version stored progress in chunks that the reduced limits do not allow. */
    private fun chunkSizeOf(record: LiveRecord) = if (limits.isReduced) {
        minOf(
            record.chunkSize,
            PageForm.chunkSizeFor(limits.target.valueBytes),
        )
    } else {
        record.chunkSize
    }

    /** The record of the job is gone. What still runs of it, if anything could, is stopped. */
    override fun onJobGone(jobId: String) {
        val job = shardState.jobs[jobId] ?: return
        if (job.placedCount == 0) {
            forget(job)
        } else if (!job.isCancelled) {
            log.error("job {}: its record is gone while {} tasks are placed", jobId, job.placedCount)
            job.isCancelled = true
            stopAll(job)
        }
    }

    private fun forget(job: Job) {
        shardState.jobs.remove(job.spec.jobId)
        progressStore.forget(job)
        shardState.passRequested = true
    }

    private fun stopAll(job: Job) {
        for (placement in job.placements().toList()) {
            if (!placement.committed && job.chunkOf(placement.task).page?.writing != true) {
                shardState.finish(placement, done = false)
            } else {
                dispatcher.stop(placement, StopReason.CANCELLED)
            }
        }
    }

    private inner class Storing : ProgressListener {
        override fun onPlacementStored(placement: Placement) {
            if (placement.committed) return
            placement.committed = true
            if (placement.job.chunkOf(placement.task).placements[placement.task] !== placement) return
            if (placement.job.isCancelled) dispatcher.stop(placement, StopReason.CANCELLED)
            if (placement.stopReason == null) {
                launchStored(placement)
            } else if (placement.launchEpoch == 0L) {
                shardState.finish(placement, done = false)
            }
        }

        private fun launchStored(placement: Placement) {
            val job = placement.job
            when {
                !job.spec.gang -> dispatcher.launch(placement)
                job.isWholeGangStored -> job.placements().forEach { dispatcher.launch(it) }
            }
        }

        override fun onTermInDoubt() = records.refresh(index)

        override fun onGatesInDoubt() = records.rollout.refreshGates()

        override fun onJobRecordChanged(path: String, item: StoredItem?) {
            if (item ==
                null
            ) {
                onJobGone(path.substringAfterLast('/'))
            } else {
                records.jobs.applyRecord(path, item.value, item.version)
            }
        }

        override fun onJobEnded(job: Job, end: EndRecord, revision: Long) {
            val jobId = job.spec.jobId
            log.info("job {}: {}", jobId, if (job.isCancelled) "cancellation complete" else "done")
            forget(job)
            records.jobs.applyRecord(Keys.end(jobId), end.toFields(), revision)
            records.jobs.applyRecord(Keys.live(shard, jobId), null, revision)
        }
    }

    private inner class RequestsForMachines : MachineLifecycleRequests {
        override fun removeMachines(machineNames: Set<String>) = records.removeMachines(index, machineNames)

        override fun transferMachines(machineNames: Collection<String>) = records.transferMachines(index, machineNames)

        override fun requestFailover() = records.requestFailover(index)
    }

    // ---- messages and time ------------------------------------------------------------------------------------------

    fun onHeartbeat(status: WorkerStatus): List<WorkerCommand> = heartbeats.onHeartbeat(status)

    /**
     * Brings decisions, stored records and commands up to date after something has changed; called every few
     * milliseconds.
     */
    fun reconcile() {
        if (!active || dropped) return
        val now = clock.now()
        gangs.reconcile()
        scheduler.passIfDue(now)
        progressStore.flush(now)
        dispatcher.send()
    }

    /**
     * Whether nothing of what was decided here is yet to be stored: the shard may then change hands without a trace.
     */
    val isSettled: Boolean get() = active && progressStore.isSettled && !migration.inDoubt

    /** Called about four times a second. */
    fun runOnce() {
        if (!active || dropped) return
        val now = clock.now()
        if (shardState.isCurrent()) {
            migration.runOnce(
                records.rollout.gates,
                shardState.termPrecondition,
                records.rollout.view,
            )
        }
        compareWithIndex(now)
        chargeIfDue(now)
        dispatcher.announceToken(now)
        lifecycle.runOnce(now)
        // Waiting may itself let work start: after a failure's pause, or once it has waited long enough to preempt.
        if (shardState.jobs.values.any { it.pendingCount > 0 }) shardState.passRequested = true
        // Also while this controller has not heard the store for a moment: what it wants goes out as soon as that
        // answers again.
        if (records.rollout.isAdmitted) usageSummaryWriter.runOnce(now)
        news.publishIfDue(now)
    }

    private var compareDue = 0L

    /** Every unfinished job of the shard must be in the owner's hands: one that is not would wait for ever. */
    private fun compareWithIndex(now: Long) {
        if (now < compareDue) return
        compareDue = now + COMPARE_EVERY_MS
        for (live in records.jobs.liveOf(index)) {
            val jobId = live.record.spec.jobId
            if (jobId in shardState.jobs || live.record.spec.teamName !in settings.teamsByName) continue
            log.error("job {}: unfinished, but unknown to the owner of shard {}", jobId, shard)
            onJobChanged(live)
        }
    }

    private var lastCharged = 0L

    private fun chargeIfDue(now: Long) {
        val seconds = (now - lastCharged) / 1000.0
        if (seconds < CHARGE_EVERY_S) return
        lastCharged = now
        if (seconds > MAX_CHARGED_S) return
        shardState.charge(seconds)
    }

    private companion object {
        const val COMPARE_EVERY_MS = 5_000L
        const val CHARGE_EVERY_S = 1.0
        const val MAX_CHARGED_S = 60.0
    }
}

package io.reedmast.cluster

import io.reedmast.autoscaling.FleetView
import io.reedmast.jobs.JobIndex
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.model.MachineDirectory
import io.reedmast.model.MachineRecord
import io.reedmast.model.ShardRecord
import io.reedmast.ports.Clock
import io.reedmast.ports.Gateway
import io.reedmast.ports.PeerMessage
import io.reedmast.rollout.RolloutOptions
import io.reedmast.settings.Settings
import io.reedmast.settings.ShardId
import io.reedmast.settings.Tuning
import io.reedmast.shard.ShardOwner
import io.reedmast.shard.ShardRecords
import io.reedmast.wire.MachineType
import org.slf4j.LoggerFactory

/**
 * This controller's view of the cluster, joined from its duties: staleness, membership, shards and their machines,
 * acquisition and failover of shards.
 *
 * What the watches and the answers to this controller's own transactions say goes to the tables; [runOnce] makes the
 * changes that are due. Used by the deciding thread alone.
 */
class Cluster(
    private val settings: Settings,
    private val tuning: Tuning,
    private val clock: Clock,
    private val gateway: Gateway,
    private val limits: EffectiveLimits,
    private val machineTypes: () -> Collection<MachineType>,
    /** Names this process; never used by another one. */
    incarnation: String,
    rolloutOptions: RolloutOptions,
) : ShardRecords,
    FleetView {
    private val log = LoggerFactory.getLogger("cluster")

    // Tables of what is stored.

    override val jobs = JobIndex(settings, ::owned)
    override val machineDirectory = MachineDirectory()

    /** The owners of this controller's shards. */
    val owners = ShardOwners(settings.shardCount, ::createOwner)

    /** How recent the view of the store is. */
    val staleness = WatchStaleness(clock, settings.workers)
    private val shards = ShardTable(settings.shardCount, gateway, ::onShardRecordChanged)
    override val rollout =
        ClusterRollout(settings, clock, gateway, gateway, limits, rolloutOptions, incarnation, shards) {
            watchResults.reread(it)
        }
    private val membership =
        Membership(settings, clock, gateway, gateway, ::memberFields) { rollout.gates.precondition }
    private val departedMachines = DepartedMachines(settings, clock)
    private val machines = MachineTable(
        settings.shardCount,
        gateway,
        limits,
        departedMachines,
        { owners[it]?.syncMachines() },
        machineDirectory::forget,
    )

    /** Takes the results of the watches on the store. */
    val watchResults: WatchResultHandler =
        WatchResultHandler(gateway, staleness, membership, rollout, shards, machines, jobs, ::keepLease)

    // Changes to the records of shards and machines.

    private val assignment = MachineAssignment(
        settings,
        gateway,
        limits,
        shards,
        machines,
        rollout,
        { membership.leaderVersion },
        watchResults::reread,
    )
    private val failoverRequests = FailoverRequests(shards)
    private val failbackDelay = FailbackDelay()
    private val attempts = AcquisitionAttempts(settings, clock)
    private val restorer = ShardRestorer(clock, gateway, staleness, jobs, owners, attempts)
    private val acquirer =
        ShardAcquirer(settings, gateway, shards, owners, rollout, attempts, restorer) { watchResults.reread(it) }
    private val workerAddresses = WorkerAddresses(machines, machineDirectory)
    private val reachability = WorkerReachability(clock, gateway, workerAddresses)
    private val unreachableOwners = UnreachableOwnerDetector(
        settings,
        clock,
        gateway,
        staleness,
        shards,
        machineDirectory,
        workerAddresses,
        acquirer,
        attempts,
    )
    private val acquisitionPolicy =
        AcquisitionPolicy(settings, clock, membership, shards, rollout, failoverRequests, failbackDelay)
    private val acquisition = ShardAcquisition(
        clock,
        membership,
        shards,
        owners,
        acquisitionPolicy,
        attempts,
        acquirer,
        reachability,
        unreachableOwners,
    )

    // The other controllers.

    private val peerStatuses = PeerStatuses(settings.self, settings.members.size, incarnation)
    private val peerMessages = PeerMessageHandler(
        settings,
        clock,
        gateway,
        staleness,
        jobs,
        machineDirectory,
        machines,
        failoverRequests,
        peerStatuses,
    )

    private var reducedLimitsShared = false
    private var releaseDueAt = 0L

    /** The label of the leader, if there is one. */
    val leader: String? get() = membership.leader
    override val shardCount: Int get() = settings.shardCount
    override val hasUnownedShards: Boolean get() = shards.records.any { it == null }
    override val leading: Boolean get() = membership.leading

    /** The shards' records as last seen; null for a shard that has never had an owner. */
    val records: Array<StoredShardRecord?> get() = shards.records

    /** Whether requests of users can be taken. */
    val ready: Boolean get() = staleness.loaded && rollout.isAdmitted

    private fun createOwner(shard: ShardId) =
        ShardOwner(shard, settings, tuning, clock, gateway, limits, machineTypes, ::isCurrent, this)

    private fun memberFields() = rollout.memberFields(ownsNothing = shards.countOf(settings.label) == 0)

    override fun isCurrent(): Boolean = staleness.isCurrent && rollout.isAdmitted

    /**
     * Whether this controller may still answer workers with 200: it knows all cancellations that users were told of, up
     * to a short time ago, from the store or, during an outage, from every other controller.
     */
    fun mayAcknowledgeHeartbeats(): Boolean {
        if (!rollout.mayAcknowledgeHeartbeats) return false
        val observedThrough = staleness.observedThrough ?: return false
        val confirmedAt = peerStatuses.confirmedAt() ?: observedThrough
        return staleness.isWithinSelfFence(maxOf(observedThrough, confirmedAt))
    }

    /**
     * Whether the store is out for all controllers, as far as the others report: none could serve users better.
     */
    fun outageForAll(): Boolean = peerStatuses.noneReachesStore(clock.now())

    override fun shardOfMachine(machineName: String): ShardId? = machines.shardOf(machineName)

    /** The label of the controller that owns [shard], if it has ever had an owner. */
    fun ownerOf(shard: ShardId): String? = shards.ownerOf(shard)

    /** The owners of this controller's shards that may still act. */
    fun owned(): List<ShardOwner> = owners.active()

    override fun machinesOf(shard: ShardId): Sequence<MachineRecord> = machines.machinesOf(shard)

    override fun machinesVersion(shard: ShardId): Long = machines.versionOf(shard)

    override fun transferTargetsOf(shard: ShardId): Map<MachineRecord, Int?> = machines.transferTargetsOf(shard)

    override fun isMarkedForTransfer(shard: ShardId, machineName: String) =
        machines.isMarkedForTransfer(shard, machineName)

    override fun departedLately(machineName: String): Boolean = machineName in departedMachines

    /** A worker has sent a heartbeat to this controller. */
    fun onWorkerContact() = reachability.recordContact()

    /**
     * Where to send a worker of [shard], which is not this controller's; null if the worker must look for another
     * controller by itself.
     */
    fun redirectTarget(shard: ShardId, machineName: String, addr: String): String? =
        unreachableOwners.redirectTarget(shard, machineName, addr)

    /** Another controller has sent a message. */
    fun onPeerMessage(message: PeerMessage) = peerMessages.onMessage(message)

    private fun onShardRecordChanged(shard: ShardId, previous: StoredShardRecord?, current: StoredShardRecord) {
        val record = current.record
        if (previous?.record?.owner != record.owner) unreachableOwners.onNewOwner(shard)
        if (acquirer.confirmedByWatch(shard, current)) return
        val owner = owners[shard] ?: return
        if (record.owner == settings.label) owner.sync(record, current.version) else onLost(owner, record)
    }

    /** Another controller has acquired the shard of [owner]. */
    private fun onLost(owner: ShardOwner, record: ShardRecord) {
        if (!owner.dropped) {
            log.info("shard {}: acquired by {}, token {}", owner.index.value, record.owner, record.token)
            if (!rollout.isDraining) failbackDelay.onAcquiredByAnother(clock.now())
        }
        owners.drop(owner.index)
    }

    /** Periodic: makes the changes that are due, and has each owner do the same. */
    fun runOnce() {
        staleness.resumeWaiters()
        if (!staleness.clusterLoaded) return
        rollout.checkAdmission()
        keepLease()
        val now = clock.now()
        peerMessages.queryStatuses(now)
        departedMachines.expire(now)
        if (isCurrent()) {
            membership.claimKeys(mayLead = !rollout.isDraining)
            rollout.runOnce(membership.leaderVersion.takeIf { membership.leading })
            acquisition.runOnce(now)
            releaseShards(now)
            divideForReducedLimits()
        } else {
            unreachableOwners.onStoreUnreachable(now)
        }
        owned().forEach { it.runOnce() }
    }

    /** Not before the gates are known: a process that must not take part renews nothing. */
    private fun keepLease() {
        if (rollout.isAdmitted) membership.keepLease()
    }

    /**
     * Before it is stopped, a drained controller has the others acquire its shards, each one when all that it decided
     * there is stored.
     */
    private fun releaseShards(now: Long) {
        if (!rollout.isDraining || now < releaseDueAt) return
        releaseDueAt = now + RELEASE_INTERVAL_MS
        owned().filter { it.isSettled }.forEach { requestFailover(it.index) }
    }

    /**
     * Once no earlier version reads the records any more, what is too large for the reduced limits is stored anew in
     * smaller parts.
     */
    private fun divideForReducedLimits() {
        if (!limits.isReduced) return
        if (!reducedLimitsShared) membership.shareLimits()
        reducedLimitsShared = true
        for (owner in owned()) {
            if (owner.needsReload) acquisition.reload(owner.index)
            assignment.divideOversized(owner.index)
        }
    }

    /** Has each owner act on what has changed in its shard. */
    fun reconcile() = owned().forEach { it.reconcile() }

    override fun renewToken(shard: ShardId) = acquisition.renewToken(shard)

    override fun requestFailover(shard: ShardId) {
        val term = shards.termOf(settings.label, shard) ?: return
        log.info("shard {}: the other controllers are asked to acquire it", shard.value)
        gateway.broadcast(PeerMessage.FailoverRequest(shard, term))
    }

    override fun refresh(shard: ShardId) = shards.refresh(shard, watchResults::applyReadResult)

    override fun removeMachines(shard: ShardId, machineNames: Set<String>) =
        assignment.removeMachines(shard, machineNames)

    override fun transferMachines(shard: ShardId, machineNames: Collection<String>) =
        assignment.transferMachines(shard, machineNames)

    override fun addMachines(shard: ShardId, records: List<MachineRecord>, seen: Long, done: (Set<String>) -> Unit) =
        assignment.addMachines(shard, records, seen, done)

    override fun markForTransfer(shard: ShardId, machineNames: Collection<String>, to: ShardId) =
        assignment.markForTransfer(shard, machineNames, to)

    private companion object {
        const val RELEASE_INTERVAL_MS = 2_000L
    }
}

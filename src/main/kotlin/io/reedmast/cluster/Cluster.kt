package io.reedmast.cluster

import io.reedmast.autoscaling.AddMachinesResult
import io.reedmast.autoscaling.FleetView
import io.reedmast.jobs.JobIndex
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.model.MachineDirectory
import io.reedmast.model.MachineRecord
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
 * This controller's view of the cluster. Combines the classes for staleness, membership, shards and their machines, and
 * the acquisition and failover of shards.
 *
 * The results of the watches and of this controller's own transactions are applied to tables; [runOnce] makes the
 * changes that are due. Used only on the event loop.
 */
class Cluster(
    private val settings: Settings,
    private val tuning: Tuning,
    private val clock: Clock,
    private val gateway: Gateway,
    private val limits: EffectiveLimits,
    private val machineTypes: () -> Collection<MachineType>,
    /** Identifies this process; never reused by another one. */
    incarnation: String,
    rolloutOptions: RolloutOptions,
) : ShardRecords,
    FleetView {
    private val log = LoggerFactory.getLogger("cluster")

    override val jobs = JobIndex(settings, ::activeOwners)
    override val machineDirectory = MachineDirectory()

    /** The owners of this controller's shards. */
    val owners = ShardOwners(settings.shardCount, ::createOwner)

    /** How recent the view of the store is. */
    val staleness = WatchStaleness(clock, settings.workers)
    private val shards = ShardTable(settings.shardCount, gateway) { shard, previous, current ->
        failover.onShardRecordChanged(shard, previous, current)
    }
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
        machineDirectory::remove,
    )

    private val tables =
        ClusterTables(staleness, membership, rollout, shards, machines, jobs, machineDirectory, owners)

    /** Receives the results of the watches on the store. */
    val watchResults: WatchResultHandler = WatchResultHandler(gateway, tables, ::keepLease)

    private val failover: ShardFailover =
        ShardFailover(settings, clock, gateway, gateway, tables) { watchResults.reread(it) }
    private val assignment = MachineAssignment(
        settings,
        gateway,
        limits,
        shards,
        machines,
        rollout,
        { membership.leaderTerm },
        watchResults::reread,
    )
    private val peerStatuses = PeerStatuses(settings.controllerId, settings.members.size, incarnation)
    private val peerMessages = PeerMessageHandler(settings, clock, gateway, tables, failover, peerStatuses)

    private val contestedMachineLog = ContestedMachineLog(machines)

    private var reducedLimitsShared = false
    private var releaseDueAt = 0L

    /** The label of the leader, if there is one. */
    val leader: String? get() = membership.leader
    override val shardCount: Int get() = settings.shardCount
    override val hasUnownedShards: Boolean get() = shards.records.any { it == null }
    override val leading: Boolean get() = membership.leading
    override val leaderTerm: Long? get() = membership.leaderTerm

    /** The shards' records as last seen; null for a shard that has never had an owner. */
    val shardRecords: Array<StoredShardRecord?> get() = shards.records

    /** Whether requests from users can be accepted. */
    val ready: Boolean get() = staleness.loaded && rollout.isAdmitted

    private fun createOwner(shard: ShardId) =
        ShardOwner(shard, settings, tuning, clock, gateway, limits, machineTypes, ::isCurrent, this)

    private fun memberFields() = rollout.memberFields(ownsNothing = shards.countOf(settings.label) == 0)

    override fun isCurrent(): Boolean = staleness.isCurrent && rollout.isAdmitted

    /**
     * Whether this controller may still answer workers with 200: it knows every cancellation confirmed to a user
     * up to a short time ago, either from the store or, during an outage, from all other controllers.
     */
    fun mayAcknowledgeHeartbeats(): Boolean {
        if (!rollout.mayAcknowledgeHeartbeats) return false
        val observedThrough = staleness.observedThrough ?: return false
        val cancellationsKnownUntil = peerStatuses.cancellationsKnownUntil() ?: observedThrough
        return staleness.isWithinSelfFence(maxOf(observedThrough, cancellationsKnownUntil))
    }

    /** What [mayAcknowledgeHeartbeats] is decided from, for the log. */
    fun describeAcknowledgement(): String {
        val byPeersAgeMs = peerStatuses.cancellationsKnownUntil()?.let { clock.now() - it }
        return "cancellations known as of ${staleness.ageMs()} ms ago by the store, $byPeersAgeMs ms ago by peers"
    }

    /**
     * Whether the store is unreachable for all controllers, as far as the others report, so that none could serve users
     * better than this one.
     */
    fun isStoreUnreachableForAll(): Boolean = peerStatuses.isStoreUnreachableForPeers(clock.now())

    override fun shardOfMachine(machineName: String): ShardId? = machines.shardOf(machineName)

    /** The label of the controller that owns [shard], if it has ever had an owner. */
    fun ownerOf(shard: ShardId): String? = shards.ownerOf(shard)

    /** The owners of this controller's shards that have not been dropped. */
    fun activeOwners(): List<ShardOwner> = owners.active()

    override fun machinesOf(shard: ShardId): Sequence<MachineRecord> = machines.machinesOf(shard)

    override fun machinesVersion(shard: ShardId): Long = machines.versionOf(shard)

    override fun transferTargetsOf(shard: ShardId): Map<MachineRecord, Int?> = machines.transferTargetsOf(shard)

    override fun isMarkedForTransfer(shard: ShardId, machineName: String) =
        machines.isMarkedForTransfer(shard, machineName)

    override fun hasObserved(time: Long): Boolean = staleness.observedThrough?.let { it > time } ?: false

    override fun departedRecently(machineName: String): Boolean = machineName in departedMachines

    override fun recordDeparture(machineName: String) = departedMachines.add(machineName)

    /** Called when a worker has sent a heartbeat to this controller. */
    fun onWorkerContact() = failover.onWorkerContact()

    /**
     * The controller to which to redirect a worker of [shard], which this controller does not own; null if the worker
     * must find another controller by itself.
     */
    fun redirectTarget(shard: ShardId, machineName: String, addr: String): String? =
        failover.redirectTarget(shard, machineName, addr)

    /** Called when another controller has sent [message]. */
    fun onPeerMessage(message: PeerMessage) = peerMessages.onMessage(message)

    /** Called periodically: makes the changes that are due, and runs each owner's periodic work. */
    fun runOnce() {
        staleness.resumeWaiters()
        if (!staleness.clusterLoaded) return
        rollout.checkAdmission()
        keepLease()
        val now = clock.now()
        peerMessages.queryStatuses(now)
        departedMachines.expire(now)
        contestedMachineLog.runOnce()
        if (isCurrent()) {
            membership.claimKeys(mayLead = !rollout.isDraining)
            rollout.runOnce(membership.leaderVersion.takeIf { membership.leading })
            failover.runOnce(now)
            releaseShards(now)
            splitForReducedLimits()
        } else {
            failover.onStoreUnreachable(now)
        }
        activeOwners().forEach { it.runOnce() }
    }

    /**
     * Renews the lease only once the gates are known and admit this process; a process that must not take part renews
     * nothing.
     */
    private fun keepLease() {
        if (rollout.isAdmitted) membership.keepLease()
    }

    /**
     * While being drained, before it is stopped, this controller asks the others to acquire its shards: each shard once
     * all decisions made for it are stored.
     */
    private fun releaseShards(now: Long) {
        if (!rollout.isDraining || now < releaseDueAt) return
        releaseDueAt = now + RELEASE_INTERVAL_MS
        activeOwners().filter { it.isReadyForHandover }.forEach { requestFailover(it.index) }
    }

    /**
     * Once no earlier version reads the records any more, stores those that are too large for the reduced limits again
     * in smaller parts.
     */
    private fun splitForReducedLimits() {
        if (!limits.isReduced) return
        if (!reducedLimitsShared) membership.shareLimits()
        reducedLimitsShared = true
        for (owner in activeOwners()) {
            if (owner.needsReload) failover.reload(owner.index)
            assignment.splitOversized(owner.index)
        }
    }

    /** Lets each owner act on the changes in its shard. */
    fun reconcile() = activeOwners().forEach { it.reconcile() }

    override fun renewToken(shard: ShardId) = failover.renewToken(shard)

    override fun requestFailover(shard: ShardId) {
        val term = shards.termOf(settings.label, shard) ?: return
        log.info("shard {}: asking the other controllers to acquire it", shard.value)
        gateway.broadcast(PeerMessage.FailoverRequest(shard, term))
    }

    override fun refreshShardRecord(shard: ShardId) = shards.refresh(shard, watchResults::applyReadResult)

    override fun removeMachines(shard: ShardId, machineNames: Set<String>) =
        assignment.removeMachines(shard, machineNames)

    override fun recordConflictOf(shard: ShardId, machineName: String) =
        machines.recordedShards.conflictOf(machineName, shard)

    override fun releaseContested(shard: ShardId, machineNames: Collection<String>) =
        assignment.releaseContested(shard, machineNames)

    override fun transferMachines(from: ShardId, machineNames: Collection<String>) =
        assignment.transferMachines(from, machineNames)

    override fun addMachines(
        shard: ShardId,
        records: List<MachineRecord>,
        highestTokenSeen: Long,
        onDone: (AddMachinesResult) -> Unit,
    ) = assignment.addMachines(shard, records, highestTokenSeen, onDone)

    override fun markForTransfer(shard: ShardId, machineNames: Collection<String>, to: ShardId) =
        assignment.markForTransfer(shard, machineNames, to)

    private companion object {
        const val RELEASE_INTERVAL_MS = 2_000L
    }
}

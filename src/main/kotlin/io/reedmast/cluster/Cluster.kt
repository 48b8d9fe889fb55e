package io.reedmast.cluster

import io.reedmast.autoscaling.FleetView
import io.reedmast.jobs.JobIndex
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.ReadResult
import io.reedmast.kvstore.StoredItem
import io.reedmast.kvstore.UnreadableRecordLog
import io.reedmast.kvstore.WatchEvent
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
import io.reedmast.wire.Fields
import io.reedmast.wire.MachineType
import io.reedmast.wire.MalformedException
import org.slf4j.LoggerFactory

/**
 * This controller's view of the cluster, joined from its duties: freshness, membership, shards and their machines,
 * takeovers.
 *
 * What the watches and the answers to this controller's own changes tell goes to the tables; [runOnce] makes the
 * changes that are due.
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
    private val unreadable = UnreadableRecordLog()
    private val startedAt = clock.now()
    override val jobs = JobIndex(settings, ::owned)
    override val machineDirectory = MachineDirectory()
    val owners = arrayOfNulls<ShardOwner>(settings.shardCount)

    /** How recent the view of the store is. */
    val staleness = WatchStaleness(clock, settings.workers)
    private val shards = ShardTable(settings.shardCount, gateway, ::shardChanged)
    override val rollout =
        ClusterRollout(settings, clock, gateway, gateway, limits, rolloutOptions, incarnation, shards) { reread(it) }
    private val membership =
        Membership(settings, clock, gateway, gateway, ::memberFields) { rollout.gates.precondition }
    private val machines =
        MachineTable(settings, clock, gateway, limits, { owners[it.value]?.syncMachines() }, machineDirectory::forget)
    private val reachability = WorkerReachability(clock, gateway)
    private val assignment =
        MachineAssignment(settings, gateway, limits, shards, machines, rollout, { membership.leaderVersion }, ::reread)
    private val acquisition =
        ShardAcquisition(
            settings,
            clock,
            gateway,
            gateway,
            staleness,
            membership,
            shards,
            machines,
            jobs,
            machineDirectory,
            reachability,
            rollout,
            owners,
            ::newOwner,
        ) { reread(it) }
    private var sharedReduced = false
    private val peerStatuses = PeerStatuses(settings.self, settings.members.size, incarnation)
    private var statusQueryDue = 0L

    val leader: String? get() = membership.leader
    override val shardCount: Int get() = settings.shardCount
    override val hasUnownedShards: Boolean get() = shards.records.any { it == null }
    override val leading: Boolean get() = membership.leading
    val records: Array<StoredRecord?> get() = shards.records

    private fun newOwner(shard: ShardId) =
        ShardOwner(shard, settings, tuning, clock, gateway, limits, machineTypes, ::isCurrent, this)

    private fun memberFields() = rollout.memberFields(ownsNothing = shards.countOf(settings.label) == 0)

    /** Whether this controller has lately heard enough from the store to decide anything, and may. */
    override fun isCurrent(): Boolean = staleness.isCurrent && rollout.isAdmitted

    /**
     * Whether this controller may still answer workers with 200: it knows all cancellations that users were told of, up
     * to a short time ago, from the store or, during an outage, from every other controller.
     */
    fun mayAcknowledgeHeartbeats(): Boolean {
        if (!rollout.mayAcknowledgeHeartbeats) return false
        val known = staleness.observedThrough ?: return false
        return staleness.isWithinSelfFence(maxOf(known, peerStatuses.confirmedAt() ?: known))
    }

    /** Whether the store is out for all controllers, as far as the others tell: none could serve users better. */
    fun outageForAll(): Boolean = peerStatuses.noneReachesStore(clock.now())

    /** Whether requests of users can be taken. */
    val ready: Boolean get() = staleness.loaded && rollout.isAdmitted

    override fun shardOfMachine(machineName: String): ShardId? = machines.shardOf(machineName)

    fun ownerOf(shard: ShardId): String? = shards.ownerOf(shard)

    fun owned(): List<ShardOwner> = owners.filterNotNull().filter { !it.dropped }

    override fun machinesOf(shard: ShardId): Sequence<MachineRecord> = machines.machinesOf(shard)

    override fun machinesVersion(shard: ShardId): Long = machines.versionOf(shard)

    override fun transferTargetsOf(shard: ShardId): Map<MachineRecord, Int?> = machines.transferTargetsOf(shard)

    override fun isMarkedForTransfer(shard: ShardId, machineName: String) =
        machines.isMarkedForTransfer(shard, machineName)

    override fun departedLately(machineName: String): Boolean = machines.departedLately(machineName)

    /** A worker has reported to this controller. */
    fun onWorkerContact() = reachability.recordContact()

    /** Where to send a worker of [shard], which is not ours. */
    fun redirectTarget(shard: ShardId, machineName: String, addr: String): String? =
        acquisition.redirectTarget(shard, machineName, addr)

    // ---- what the watches tell --------------------------------------------------------------------------------------

    /** All keys of the cluster, read at the start and after a gap in their watch; at least as new as [revision]. */
    fun snapshot(items: List<StoredItem>, revision: Long, askedAt: Long) {
        membership.reset(revision)
        rollout.reset()
        items.forEach { applyRecord(it.path, it.value, it.version) }
        membership.recordAbsent(items.mapTo(HashSet()) { it.path })
        if (!staleness.clusterLoaded) {
            log.info(
                "cluster: read from the store, {} shards, {} controllers",
                shards.records.count {
                    it != null
                },
                membership.presentCount,
            )
        }
        staleness.onClusterObserved(askedAt)
        membership.shareLimits()
        keepLease()
    }

    /** What the watch on the cluster's keys tells: all changes up to [revision]. */
    fun clusterEvents(events: List<WatchEvent>, revision: Long, askedAt: Long) {
        events.forEach { applyRecord(it.path, it.value, it.version) }
        membership.recordObserved(revision)
        staleness.onClusterObserved(askedAt)
    }

    /** All unfinished jobs, read at the start and after a gap in the watch on jobs. */
    fun jobsSnapshot(items: List<StoredItem>, revision: Long, askedAt: Long) {
        jobs.load(items, revision)
        if (!staleness.jobsLoaded) log.info("jobs: read from the store, {} unfinished", items.size)
        staleness.onJobsObserved(askedAt)
    }

    /** What the watch on jobs tells: all changes up to [revision]. */
    fun jobEvents(events: List<WatchEvent>, revision: Long, askedAt: Long) {
        jobs.follow(events, revision)
        staleness.onJobsObserved(askedAt)
    }

    /** Each table takes up the keys that are its own. */
    private fun applyRecord(path: String, value: Fields?, version: Long) {
        try {
            membership.applyRecord(path, value, version)
            rollout.applyRecord(path, value, version)
            shards.applyRecord(path, value, version)
            machines.applyRecord(path, value, version)
        } catch (e: MalformedException) {
            unreadable.report(path, e.message)
        }
    }

    private fun shardChanged(shard: ShardId, before: StoredRecord?, now: StoredRecord) {
        val record = now.record
        if (before?.record?.owner != record.owner) acquisition.onNewOwner(shard)
        if (acquisition.confirmedByWatch(shard, record, now.version)) return
        val owner = owners[shard.value] ?: return
        if (record.owner == settings.label) {
            owner.sync(record, now.version)
            return
        }
        if (!owner.dropped) {
            log.info("shard {}: acquired by {}, token {}", shard.value, record.owner, record.token)
            if (!rollout.isDraining) acquisition.onAcquiredByAnother()
        }
        owner.dropped = true
        owners[shard.value] = null
    }

    private fun reread(path: String, then: () -> Unit = {}) = gateway.get(path) {
        applyReadResult(it)
        then()
    }

    private fun applyReadResult(fetched: ReadResult) {
        if (fetched is ReadResult.Found) applyRecord(fetched.item.path, fetched.item.value, fetched.item.version)
    }

    // ---- time -------------------------------------------------------------------------------------------------------

    fun runOnce() {
        staleness.resumeWaiters()
        if (!staleness.clusterLoaded) return
        rollout.checkAdmission()
        keepLease()
        val now = clock.now()
        queryPeers(now)
        machines.runOnce(now)
        if (isCurrent()) {
            membership.claimKeys(mayLead = !rollout.isDraining)
            rollout.runOnce(membership.leaderVersion.takeIf { membership.leading })
            acquisition.runOnce(now)
            releaseShards(now)
            divideForReducedLimits()
        } else {
            acquisition.isCutOff(now)
        }
        owned().forEach { it.runOnce() }
    }

    /** Not before the gates are known: a process that must not take part renews nothing. */
    private fun keepLease() {
        if (rollout.isAdmitted) membership.keepLease()
    }

    private var releaseDue = 0L

    /**
     * Before it is stopped, a drained controller has the others take its shards, each one when all that it decided
     * there is stored.
     */
    private fun releaseShards(now: Long) {
        if (!rollout.isDraining || now < releaseDue) return
        releaseDue = now + RELEASE_INTERVAL_MS
        owned().filter { it.isSettled }.forEach { requestFailover(it.index) }
    }

    /**
     * Once no earlier version reads the records any more, what is too large for the reduced limits is stored anew in
     * smaller parts.
     */
    private fun divideForReducedLimits() {
        if (!limits.isReduced) return
        if (!sharedReduced) membership.shareLimits()
        sharedReduced = true
        for (owner in owned()) {
            if (owner.needsReload) acquisition.reload(owner.index)
            assignment.divideOversized(owner.index)
        }
    }

    fun reconcile() = owned().forEach { it.reconcile() }

    // ---- other controllers
    // --------------------------------------------------------------------------------------------

    /** Another controller has sent a message. */
    fun onPeerMessage(message: PeerMessage) = when (message) {
        is PeerMessage.ShardStatusUpdate -> {
            jobs.applyProgressUpdates(message.jobs)
            machineDirectory.heard(message.machines, machines::contains)
        }

        is PeerMessage.FailoverRequest -> acquisition.requested(message)

        is PeerMessage.StatusQuery -> gateway.send(message.from, statusFor(message))

        is PeerMessage.StatusReport -> {
            message.cancellations?.forEach { jobs.applyCancellation(it) }
            peerStatuses.heard(message, clock.now(), staleness.observedThrough)
        }
    }

    private fun statusFor(query: PeerMessage.StatusQuery) = PeerMessage.StatusReport(
        from = settings.self,
        incarnation = query.incarnation,
        sequence = query.sequence,
        uptimeMs = clock.now() - startedAt,
        storeAgeMs = staleness.ageMs(),
        cancellations = jobs.cancellations().takeIf { it.size <= PeerMessage.MAX_CANCELLATIONS },
    )

    /** Asks the other controllers how they are, while the store does not answer this one. */
    private fun queryPeers(now: Long) {
        val age = staleness.ageMs() ?: return
        if (age < QUERY_PEERS_AFTER_MS || now < statusQueryDue) return
        statusQueryDue = now + QUERY_PEERS_EVERY_MS
        gateway.broadcast(peerStatuses.query(now))
    }

    // ---- changes to records
    // -------------------------------------------------------------------------------------------

    override fun renewToken(shard: ShardId) = acquisition.renewToken(shard)

    override fun requestFailover(shard: ShardId) {
        val term = shards.records[shard.value]?.takeIf { it.record.owner == settings.label }?.version ?: return
        log.info("shard {}: the other controllers are asked to acquire it", shard.value)
        gateway.broadcast(PeerMessage.FailoverRequest(shard, term))
    }

    override fun refresh(shard: ShardId) = shards.refresh(shard, ::applyReadResult)

    override fun removeMachines(shard: ShardId, machineNames: Set<String>) =
        assignment.removeMachines(shard, machineNames)

    override fun transferMachines(shard: ShardId, machineNames: Collection<String>) =
        assignment.transferMachines(shard, machineNames)

    /**
     * The leader gives machines to a shard; [seen] is the highest token that any of them has seen. [done] tells which
     * were.
     */
    override fun addMachines(shard: ShardId, records: List<MachineRecord>, seen: Long, done: (Set<String>) -> Unit) =
        assignment.addMachines(shard, records, seen, done)

    /** The leader marks machines that are to leave for another shard as soon as they are empty. */
    override fun markForTransfer(shard: ShardId, machineNames: Collection<String>, to: ShardId) =
        assignment.markForTransfer(shard, machineNames, to)

    private companion object {
        const val QUERY_PEERS_AFTER_MS = 3_500L
        const val QUERY_PEERS_EVERY_MS = 1_000L
        const val RELEASE_INTERVAL_MS = 2_000L
    }
}

package io.reedmast.ownership

import io.reedmast.jobs.JobIndex
import io.reedmast.jobs.ShardOwner
import io.reedmast.jobs.ShardRecords
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.ReadResult
import io.reedmast.kvstore.StoredItem
import io.reedmast.kvstore.UnreadableRecordLog
import io.reedmast.kvstore.WatchEvent
import io.reedmast.peers.PeerMessage
import io.reedmast.ports.Clock
import io.reedmast.ports.Gateway
import io.reedmast.rollout.RolloutOptions
import io.reedmast.settings.Settings
import io.reedmast.settings.ShardId
import io.reedmast.settings.Tuning
import io.reedmast.wire.Fields
import io.reedmast.wire.MachineType
import io.reedmast.wire.MalformedException
import io.reedmast.workers.HostDirectory
import io.reedmast.workers.HostRecord
import org.slf4j.LoggerFactory

/**
 * This node's view of the cluster, joined from its duties: freshness, membership, shards and their machines, takeovers.
 *
 * What the watches and the answers to this node's own changes tell goes to the tables; [tick] makes the changes that are due.
 */
class Cluster(
    private val settings: Settings,
    private val tuning: Tuning,
    private val clock: Clock,
    private val out: Gateway,
    private val limits: EffectiveLimits,
    private val machineTypes: () -> Collection<MachineType>,
    /** Names this process; never used by another one. */
    incarnation: String,
    rolloutOptions: RolloutOptions,
) : ShardRecords {
    private val log = LoggerFactory.getLogger("cluster")
    private val unreadable = UnreadableRecordLog()
    private val startedAt = clock.now()
    override val jobs = JobIndex(settings, ::owned)
    override val hostDirectory = HostDirectory()
    val owners = arrayOfNulls<ShardOwner>(settings.shardCount)

    /** How recent the view of the store is. */
    val freshness = Freshness(clock, settings.workers)
    private val shards = ShardTable(settings.shardCount, out, ::shardChanged)
    override val rollout = ClusterRollout(settings, clock, out, limits, rolloutOptions, incarnation, shards) { reread(it) }
    private val membership = Membership(settings, clock, out, ::memberFields) { rollout.gates.precondition }
    private val machines = MachineTable(settings, clock, out, limits, { owners[it.value]?.syncHosts() }, hostDirectory::forget)
    private val contact = WorkerContact(clock, out)
    private val assignment = MachineAssignment(settings, out, limits, shards, machines, rollout, { membership.leaderVersion }, ::reread)
    private val takeover =
        Takeover(settings, clock, out, freshness, membership, shards, machines, jobs, hostDirectory, contact, rollout, owners, ::newOwner) { reread(it) }
    private var sharedReduced = false
    private val peerStatuses = PeerStatuses(settings.self, settings.members.size, incarnation)
    private var statusQueryDue = 0L

    val leader: String? get() = membership.leader
    val leading: Boolean get() = membership.leading
    val records: Array<StoredRecord?> get() = shards.records

    private fun newOwner(shard: ShardId) = ShardOwner(shard, settings, tuning, clock, out, limits, machineTypes, ::fresh, this)

    private fun memberFields() = rollout.memberFields(ownsNothing = shards.countOf(settings.label) == 0)

    /** Whether this node has lately heard enough from the store to decide anything, and may. */
    fun fresh(): Boolean = freshness.isFresh && rollout.isAdmitted

    /**
     * Whether this node may still answer workers with 200: it knows all cancellations that users were told of, up to a short
     * time ago, from the store or, during an outage, from every other controller.
     */
    fun mayAnswerWorkers(): Boolean {
        if (!rollout.mayAnswerWorkers) return false
        val known = freshness.knownAt ?: return false
        return freshness.isWithinFence(maxOf(known, peerStatuses.confirmedAt() ?: known))
    }

    /** Whether the store is out for all controllers, as far as the others tell: none could serve users better. */
    fun outageForAll(): Boolean = peerStatuses.noneHearsState(clock.now())

    /** Whether requests of users can be taken. */
    val ready: Boolean get() = freshness.loaded && rollout.isAdmitted

    fun shardOfHost(host: String): ShardId? = machines.shardOf(host)

    fun ownerOf(shard: ShardId): String? = shards.ownerOf(shard)

    fun owned(): List<ShardOwner> = owners.filterNotNull().filter { !it.dropped }

    fun hostsOf(shard: ShardId): Sequence<HostRecord> = machines.hostsOf(shard)

    override fun machinesVersion(shard: ShardId): Long = machines.versionOf(shard)

    override fun machinesOf(shard: ShardId): Map<HostRecord, Int?> = machines.destinationsOf(shard)

    fun isLeaving(shard: ShardId, host: String) = machines.isLeaving(shard, host)

    fun departedLately(host: String): Boolean = machines.departedLately(host)

    /** A worker has reported to this node. */
    fun workerHeard() = contact.noteHeard()

    /** Where to send a worker of [shard], which is not ours. */
    fun sendOn(shard: ShardId, host: String, addr: String): String? = takeover.sendOn(shard, host, addr)

    // ---- what the watches tell --------------------------------------------------------------------------------------

    /** All keys of the cluster, read at the start and after a gap in their watch; at least as new as [revision]. */
    fun snapshot(items: List<StoredItem>, revision: Long, askedAt: Long) {
        membership.reset(revision)
        rollout.reset()
        items.forEach { see(it.path, it.value, it.version) }
        membership.noteAbsent(items.mapTo(HashSet()) { it.path })
        if (!freshness.clusterLoaded) {
            log.info("read the state: {} shards, {} nodes", shards.records.count { it != null }, membership.presentCount)
        }
        freshness.clusterHeard(askedAt)
        membership.shareLimits()
        keepLease()
    }

    /** What the watch on the cluster's keys tells: all changes up to [revision]. */
    fun clusterEvents(events: List<WatchEvent>, revision: Long, askedAt: Long) {
        events.forEach { see(it.path, it.value, it.version) }
        membership.noteTold(revision)
        freshness.clusterHeard(askedAt)
    }

    /** All unfinished jobs, read at the start and after a gap in the watch on jobs. */
    fun jobsSnapshot(items: List<StoredItem>, revision: Long, askedAt: Long) {
        jobs.load(items, revision)
        if (!freshness.jobsLoaded) log.info("read {} unfinished jobs", items.size)
        freshness.jobsHeard(askedAt)
    }

    /** What the watch on jobs tells: all changes up to [revision]. */
    fun jobEvents(events: List<WatchEvent>, revision: Long, askedAt: Long) {
        jobs.follow(events, revision)
        freshness.jobsHeard(askedAt)
    }

    /** Each table takes up the keys that are its own. */
    private fun see(path: String, value: Fields?, version: Long) {
        try {
            membership.see(path, value, version)
            rollout.see(path, value, version)
            shards.see(path, value, version)
            machines.see(path, value, version)
        } catch (e: MalformedException) {
            unreadable.report(path, e.message)
        }
    }

    private fun shardChanged(shard: ShardId, before: StoredRecord?, now: StoredRecord) {
        val record = now.record
        if (before?.record?.owner != record.owner) takeover.noteNewOwner(shard)
        if (takeover.settledByWatch(shard, record, now.version)) return
        val owner = owners[shard.value] ?: return
        if (record.owner == settings.label) {
            owner.sync(record, now.version)
            return
        }
        if (!owner.dropped) {
            log.info("shard {}: taken over by {} under token {}", shard.value, record.owner, record.token)
            if (!rollout.isDraining) takeover.noteTakenByAnother()
        }
        owner.dropped = true
        owners[shard.value] = null
    }

    private fun reread(path: String, then: () -> Unit = {}) = out.get(path) {
        seeFetched(it)
        then()
    }

    private fun seeFetched(fetched: ReadResult) {
        if (fetched is ReadResult.Found) see(fetched.item.path, fetched.item.value, fetched.item.version)
    }

    // ---- time -------------------------------------------------------------------------------------------------------

    fun tick() {
        freshness.resumeWaiters()
        if (!freshness.clusterLoaded) return
        rollout.checkAdmission()
        keepLease()
        val now = clock.now()
        queryPeers(now)
        machines.tick(now)
        if (fresh()) {
            membership.claimKeys(mayLead = !rollout.isDraining)
            rollout.tick(membership.leaderVersion.takeIf { membership.leading })
            takeover.tick(now)
            giveShardsUp(now)
            divideForReducedLimits()
        } else {
            takeover.outOfTouch(now)
        }
        owned().forEach { it.tick() }
    }

    /** Not before the gates are known: a process that must not take part renews nothing. */
    private fun keepLease() {
        if (rollout.isAdmitted) membership.keepLease()
    }

    private var giveUpDue = 0L

    /** Before it is stopped, a drained controller has the others take its shards, each one when all that it decided there is stored. */
    private fun giveShardsUp(now: Long) {
        if (!rollout.isDraining || now < giveUpDue) return
        giveUpDue = now + GIVE_UP_EVERY_MS
        owned().filter { it.isSettled }.forEach { requestTakeover(it.index) }
    }

    /** Once no earlier version reads the records any more, what is too large for the reduced limits is stored anew in smaller parts. */
    private fun divideForReducedLimits() {
        if (!limits.isReduced) return
        if (!sharedReduced) membership.shareLimits()
        sharedReduced = true
        for (owner in owned()) {
            if (owner.needsReload) takeover.reload(owner.index)
            assignment.divideOversized(owner.index)
        }
    }

    fun pump() = owned().forEach { it.pump() }

    // ---- other controllers --------------------------------------------------------------------------------------------

    /** Another controller has sent a message. */
    fun peerSent(message: PeerMessage) = when (message) {
        is PeerMessage.ShardStatusUpdate -> {
            jobs.noteProgress(message.jobs)
            hostDirectory.heard(message.hosts, machines::contains)
        }

        is PeerMessage.TakeoverRequest -> takeover.requested(message)

        is PeerMessage.StatusQuery -> out.sendToPeer(message.from, statusFor(message))

        is PeerMessage.StatusReport -> {
            message.cancellations?.forEach { jobs.noteCancellation(it) }
            peerStatuses.heard(message, clock.now(), freshness.knownAt)
        }
    }

    private fun statusFor(query: PeerMessage.StatusQuery) = PeerMessage.StatusReport(
        from = settings.self,
        incarnation = query.incarnation,
        sequence = query.sequence,
        uptimeMs = clock.now() - startedAt,
        storeAgeMs = freshness.ageMs(),
        cancellations = jobs.cancellations().takeIf { it.size <= PeerMessage.MAX_CANCELLATIONS },
    )

    /** Asks the other controllers how they are, while the store does not answer this one. */
    private fun queryPeers(now: Long) {
        val age = freshness.ageMs() ?: return
        if (age < QUERY_PEERS_AFTER_MS || now < statusQueryDue) return
        statusQueryDue = now + QUERY_PEERS_EVERY_MS
        out.sendToPeers(peerStatuses.query(now))
    }

    // ---- changes to records -------------------------------------------------------------------------------------------

    override fun renewToken(shard: ShardId) = takeover.renewToken(shard)

    override fun requestTakeover(shard: ShardId) {
        val term = shards.records[shard.value]?.takeIf { it.record.owner == settings.label }?.version ?: return
        log.info("shard {}: the other nodes are asked to take it", shard.value)
        out.sendToPeers(PeerMessage.TakeoverRequest(shard, term))
    }

    override fun refresh(shard: ShardId) = shards.refresh(shard, ::seeFetched)

    override fun removeHosts(shard: ShardId, hosts: Set<String>) = assignment.removeHosts(shard, hosts)

    override fun handOver(shard: ShardId, hosts: Collection<String>) = assignment.handOver(shard, hosts)

    /** The leader gives machines to a shard; [seen] is the highest token that any of them has seen. [done] tells which were. */
    fun addHosts(shard: ShardId, hosts: List<HostRecord>, seen: Long, done: (Set<String>) -> Unit) = assignment.addHosts(shard, hosts, seen, done)

    /** The leader marks machines that are to leave for another shard as soon as they are empty. */
    fun markLeaving(shard: ShardId, hosts: Collection<String>, to: ShardId) = assignment.markLeaving(shard, hosts, to)

    private companion object {
        const val QUERY_PEERS_AFTER_MS = 3_500L
        const val QUERY_PEERS_EVERY_MS = 1_000L
        const val GIVE_UP_EVERY_MS = 2_000L
    }
}

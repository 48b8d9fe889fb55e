package io.reedmast.ownership

import io.reedmast.jobs.JobIndex
import io.reedmast.jobs.SliceOwner
import io.reedmast.jobs.SliceRecords
import io.reedmast.peers.PeerMessage
import io.reedmast.ports.Clock
import io.reedmast.ports.Gateway
import io.reedmast.rollout.RolloutOptions
import io.reedmast.settings.Settings
import io.reedmast.settings.SliceIndex
import io.reedmast.settings.Tuning
import io.reedmast.state.Event
import io.reedmast.state.Fetched
import io.reedmast.state.Item
import io.reedmast.state.Keys
import io.reedmast.state.LimitsInForce
import io.reedmast.state.Unreadable
import io.reedmast.wire.Fields
import io.reedmast.wire.MachineType
import io.reedmast.wire.MalformedException
import io.reedmast.workers.HostDirectory
import io.reedmast.workers.HostRecord
import org.slf4j.LoggerFactory

/**
 * This node's view of the cluster, joined from its duties: freshness, membership, slices and their machines, takeovers.
 *
 * What the watches and the answers to this node's own changes tell goes to the tables; [tick] makes the changes that are due.
 */
class Cluster(
    private val settings: Settings,
    private val tuning: Tuning,
    private val clock: Clock,
    private val out: Gateway,
    private val limits: LimitsInForce,
    private val machineTypes: () -> Collection<MachineType>,
    /** Names this process; never used by another one. */
    incarnation: String,
    rolloutOptions: RolloutOptions,
) : SliceRecords {
    private val log = LoggerFactory.getLogger("cluster")
    private val unreadable = Unreadable()
    private val startedAt = clock.now()
    override val jobs = JobIndex(settings, ::owned)
    override val hostDirectory = HostDirectory()
    val owners = arrayOfNulls<SliceOwner>(settings.slices)

    /** How recent the view of the state service is. */
    val freshness = Freshness(clock, settings.workers)
    private val slices = SliceTable(settings.slices, out, ::sliceChanged)
    override val rollout = ClusterRollout(settings, clock, out, limits, rolloutOptions, incarnation, slices) { reread(it) }
    private val membership = Membership(settings, clock, out, ::memberFields) { rollout.gates.guard }
    private val machines = MachineTable(settings, clock, out, limits, { owners[it.value]?.syncHosts() }, hostDirectory::forget)
    private val contact = WorkerContact(clock, out)
    private val assignment = MachineAssignment(settings, out, limits, slices, machines, rollout, { membership.leaderVersion }, ::reread)
    private val takeover =
        Takeover(settings, clock, out, freshness, membership, slices, machines, jobs, hostDirectory, contact, rollout, owners, ::newOwner) { reread(it) }
    private var sharedLowered = false
    private val peerStatuses = PeerStatuses(settings.self, settings.members.size, incarnation)
    private var statusQueryDue = 0L

    val leader: String? get() = membership.leader
    val leading: Boolean get() = membership.leading
    val records: Array<StoredRecord?> get() = slices.records

    private fun newOwner(slice: SliceIndex) = SliceOwner(slice, settings, tuning, clock, out, limits, machineTypes, ::fresh, this)

    private fun memberFields() = rollout.memberFields(ownsNothing = slices.countOf(settings.label) == 0)

    /** Whether this node has lately heard enough from the state service to decide anything, and may. */
    fun fresh(): Boolean = freshness.isFresh && rollout.isAdmitted

    /**
     * Whether this node may still answer workers with 200: it knows all cancellations that users were told of, up to a short
     * time ago, from the state service or, during an outage, from every other controller.
     */
    fun mayAnswerWorkers(): Boolean {
        if (!rollout.mayAnswerWorkers) return false
        val known = freshness.knownAt ?: return false
        return freshness.isWithinFence(maxOf(known, peerStatuses.confirmedAt() ?: known))
    }

    /** Whether the state service is out for all controllers, as far as the others tell: none could serve users better. */
    fun outageForAll(): Boolean = peerStatuses.noneHearsState(clock.now())

    /** Whether requests of users can be taken. */
    val ready: Boolean get() = freshness.loaded && rollout.isAdmitted

    fun sliceOfHost(host: String): SliceIndex? = machines.sliceOf(host)

    fun ownerOf(slice: SliceIndex): String? = slices.ownerOf(slice)

    fun owned(): List<SliceOwner> = owners.filterNotNull().filter { !it.dropped }

    fun hostsOf(slice: SliceIndex): Sequence<HostRecord> = machines.hostsOf(slice)

    override fun machinesVersion(slice: SliceIndex): Long = machines.versionOf(slice)

    override fun machinesOf(slice: SliceIndex): Map<HostRecord, Int?> = machines.destinationsOf(slice)

    fun isLeaving(slice: SliceIndex, host: String) = machines.isLeaving(slice, host)

    fun departedLately(host: String): Boolean = machines.departedLately(host)

    /** A worker has reported to this node. */
    fun workerHeard() = contact.noteHeard()

    /** Where to send a worker of [slice], which is not ours. */
    fun sendOn(slice: SliceIndex, host: String, addr: String): String? = takeover.sendOn(slice, host, addr)

    // ---- what the watches tell --------------------------------------------------------------------------------------

    /** All keys of the cluster, read at the start and after a gap in their watch; at least as new as [revision]. */
    fun snapshot(items: List<Item>, revision: Long, askedAt: Long) {
        membership.reset(revision)
        rollout.reset()
        items.forEach { see(it.path, it.value, it.version) }
        membership.noteAbsent(items.mapTo(HashSet()) { it.path })
        if (!freshness.clusterLoaded) {
            log.info("read the state: {} slices, {} nodes", slices.records.count { it != null }, membership.presentCount)
        }
        freshness.clusterHeard(askedAt)
        membership.shareLimits()
        keepLease()
    }

    /** What the watch on the cluster's keys tells: all changes up to [revision]. */
    fun clusterEvents(events: List<Event>, revision: Long, askedAt: Long) {
        events.forEach { see(it.path, it.value, it.version) }
        membership.noteTold(revision)
        freshness.clusterHeard(askedAt)
    }

    /** All unfinished jobs, read at the start and after a gap in the watch on jobs. */
    fun jobsSnapshot(items: List<Item>, revision: Long, askedAt: Long) {
        jobs.load(items, revision)
        if (!freshness.jobsLoaded) log.info("read {} unfinished jobs", items.size)
        freshness.jobsHeard(askedAt)
    }

    /** What the watch on jobs tells: all changes up to [revision]. */
    fun jobEvents(events: List<Event>, revision: Long, askedAt: Long) {
        jobs.follow(events, revision)
        freshness.jobsHeard(askedAt)
    }

    /** Each table takes up the keys that are its own. */
    private fun see(path: String, value: Fields?, version: Long) {
        try {
            membership.see(path, value, version)
            rollout.see(path, value, version)
            slices.see(path, value, version)
            machines.see(path, value, version)
        } catch (e: MalformedException) {
            unreadable.note(path, e.message)
        }
    }

    private fun sliceChanged(slice: SliceIndex, before: StoredRecord?, now: StoredRecord) {
        val record = now.record
        if (before?.record?.owner != record.owner) takeover.noteNewOwner(slice)
        if (takeover.settledByWatch(slice, record, now.version)) return
        val owner = owners[slice.value] ?: return
        if (record.owner == settings.label) {
            owner.sync(record, now.version)
            return
        }
        if (!owner.dropped) {
            log.info("slice {}: taken over by {} under token {}", slice.value, record.owner, record.token)
            if (!rollout.isDraining) takeover.noteTakenByAnother()
        }
        owner.dropped = true
        owners[slice.value] = null
    }

    private fun reread(path: String, then: () -> Unit = {}) = out.get(path) {
        seeFetched(it)
        then()
    }

    private fun seeFetched(fetched: Fetched) {
        if (fetched is Fetched.Found) see(fetched.item.path, fetched.item.value, fetched.item.version)
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
            giveSlicesUp(now)
            divideForLoweredLimits()
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

    /** Before it is stopped, a drained controller has the others take its slices, each one when all that it decided there is stored. */
    private fun giveSlicesUp(now: Long) {
        if (!rollout.isDraining || now < giveUpDue) return
        giveUpDue = now + GIVE_UP_EVERY_MS
        owned().filter { it.isSettled }.forEach { requestTakeover(it.index) }
    }

    /** Once no earlier version reads the records any more, what is too large for the lowered limits is stored anew in smaller parts. */
    private fun divideForLoweredLimits() {
        if (!limits.isLowered) return
        if (!sharedLowered) membership.shareLimits()
        sharedLowered = true
        for (owner in owned()) {
            if (owner.needsReload) takeover.reload(owner.index)
            assignment.divideOversized(owner.index)
        }
    }

    fun pump() = owned().forEach { it.pump() }

    // ---- other controllers --------------------------------------------------------------------------------------------

    /** Another controller has sent a message. */
    fun peerSent(message: PeerMessage) = when (message) {
        is PeerMessage.SliceNews -> {
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
        stateAgeMs = freshness.ageMs(),
        cancellations = jobs.cancellations().takeIf { it.size <= PeerMessage.MAX_CANCELLATIONS },
    )

    /** Asks the other controllers how they are, while the state service does not answer this one. */
    private fun queryPeers(now: Long) {
        val age = freshness.ageMs() ?: return
        if (age < QUERY_PEERS_AFTER_MS || now < statusQueryDue) return
        statusQueryDue = now + QUERY_PEERS_EVERY_MS
        out.sendToPeers(peerStatuses.query(now))
    }

    // ---- changes to records -------------------------------------------------------------------------------------------

    override fun renewToken(slice: SliceIndex) = takeover.renewToken(slice)

    override fun requestTakeover(slice: SliceIndex) {
        val term = slices.records[slice.value]?.takeIf { it.record.owner == settings.label }?.version ?: return
        log.info("slice {}: the other nodes are asked to take it", slice.value)
        out.sendToPeers(PeerMessage.TakeoverRequest(slice, term))
    }

    override fun refresh(slice: SliceIndex) = slices.refresh(slice, ::seeFetched)

    override fun removeHosts(slice: SliceIndex, hosts: Set<String>) = assignment.removeHosts(slice, hosts)

    override fun handOver(slice: SliceIndex, hosts: Collection<String>) = assignment.handOver(slice, hosts)

    /** The leader gives machines to a slice; [seen] is the highest token that any of them has seen. [done] tells which were. */
    fun addHosts(slice: SliceIndex, hosts: List<HostRecord>, seen: Long, done: (Set<String>) -> Unit) = assignment.addHosts(slice, hosts, seen, done)

    /** The leader marks machines that are to leave for another slice as soon as they are empty. */
    fun markLeaving(slice: SliceIndex, hosts: Collection<String>, to: SliceIndex) = assignment.markLeaving(slice, hosts, to)

    private companion object {
        const val QUERY_PEERS_AFTER_MS = 3_500L
        const val QUERY_PEERS_EVERY_MS = 1_000L
        const val GIVE_UP_EVERY_MS = 2_000L
    }
}

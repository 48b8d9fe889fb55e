package io.reedmast.ownership

import io.reedmast.app.Clock
import io.reedmast.app.LeaseState
import io.reedmast.app.Outward
import io.reedmast.jobs.JobIndex
import io.reedmast.jobs.SliceOwner
import io.reedmast.jobs.SliceRecords
import io.reedmast.peers.PeerMessage
import io.reedmast.settings.Settings
import io.reedmast.settings.SliceIndex
import io.reedmast.settings.Tuning
import io.reedmast.state.Change
import io.reedmast.state.Event
import io.reedmast.state.Fetched
import io.reedmast.state.Guard
import io.reedmast.state.Haste
import io.reedmast.state.Item
import io.reedmast.state.Keys
import io.reedmast.state.Outcome
import io.reedmast.state.Unreadable
import io.reedmast.state.Write
import io.reedmast.wire.Fields
import io.reedmast.wire.Flavor
import io.reedmast.wire.MalformedException
import io.reedmast.wire.Reply
import io.reedmast.wire.Tree
import io.reedmast.wire.count
import io.reedmast.wire.text
import io.reedmast.workers.HostRecord
import io.reedmast.workers.Roster
import org.slf4j.LoggerFactory
import java.util.TreeMap

/** A slice record as last seen, with its stamp. */
data class Held(val record: SliceRecord, val stamp: Long)

/** Some of a slice's machines as last seen, with the stamp of their record. */
data class HeldPart(val part: HostPart, val stamp: Long)

/**
 * Who owns what: this node's view of slices, nodes and leader, and the changes it makes to them.
 *
 * Taking a slice is a conditional write of its record under a fresh token. It is safe at any time; the rules here only
 * choose a good moment for it.
 */
class Cluster(
    private val settings: Settings,
    private val tuning: Tuning,
    private val clock: Clock,
    private val out: Outward,
    private val flavors: () -> Collection<Flavor>,
    /** Names this process; never used by another one. */
    incarnation: String,
) : SliceRecords {
    private val log = LoggerFactory.getLogger("cluster")
    private val unreadable = Unreadable()
    private val slices = (0 until settings.slices).map { SliceIndex(it) }
    val records = arrayOfNulls<Held>(settings.slices)
    private val parts = Array(settings.slices) { TreeMap<Int, HeldPart>() }
    override val jobs = JobIndex(settings, ::owned)
    override val roster = Roster()
    val owners = arrayOfNulls<SliceOwner>(settings.slices)
    private val hostSlices = HashMap<String, SliceIndex>()
    private val nodes = HashSet<String>()
    private val absentSince = HashMap<String, Long>()
    private var token = 0L
    private var tokenStamp = 0L
    var leader: String? = null
        private set
    var leaderStamp = 0L
        private set
    private var lease: Long? = null
    private var leaseAsked = false
    private var leaseDue = 0L
    private var claimingLeader = false
    private var claimingNode = false
    private var nodeKeyLease: Long? = null
    private var claiming = false
    private val taking = BooleanArray(settings.slices)
    private val asking = BooleanArray(settings.slices)

    /** Records of machines and slices that a change of ours is on its way to. */
    private val writing = HashSet<String>()
    private val complaints = Complaints(settings.slices, settings.workers.reportS)

    /** Until then a slice that others have taken from us is left to them, and how long that is the next time. */
    private var homeNotBefore = Long.MIN_VALUE / 2
    private var homePauseMs = FIRST_HOME_PAUSE_MS
    private val lastTaken = LongArray(settings.slices) { Long.MIN_VALUE / 2 }
    private val refreshing = BooleanArray(settings.slices)
    private val startedAt = clock.now()

    /** How recent the view of the state service is. */
    val freshness = Freshness(clock, settings.workers)
    private val peerStatuses = PeerStatuses(settings.self, settings.members.size, incarnation)
    private var statusQueryDue = 0L

    val leading: Boolean get() = leader == settings.label

    /** Where to send a worker of [slice], which is not ours: to its owner, but not twice in a row to one that is silent. */
    fun sendOn(slice: SliceIndex, host: String, addr: String): String? {
        val facts = roster.of(host)
        // A new machine reports to any node first: with a slice that grows fast, most of its workers are new ones.
        val known = facts.addr == addr
        facts.addr = addr
        val again = known && complaints.sentOn(slice, host, addr, clock.now())
        return ownerOf(slice)?.takeIf { it != settings.label && !again }
    }

    /** Whether this node has lately heard enough from the state service to decide anything. */
    fun fresh(): Boolean = freshness.isFresh

    /**
     * Whether this node may still answer workers with 200: it knows all cancellations that users were told of, up to a short
     * time ago, from the state service or, during an outage, from every other controller.
     */
    fun mayAnswerWorkers(): Boolean {
        val known = freshness.knownAt ?: return false
        return freshness.isWithinFence(maxOf(known, peerStatuses.confirmedAt() ?: known))
    }

    /** Whether the state service is out for all controllers, as far as the others tell: none could serve users better. */
    fun outageForAll(): Boolean = peerStatuses.noneHearsState(clock.now())

    /** Whether requests of users can be taken. */
    val ready: Boolean get() = freshness.loaded

    fun sliceOfHost(host: String): SliceIndex? = hostSlices[host]

    fun ownerOf(slice: SliceIndex): String? = records[slice.value]?.record?.owner

    fun owned(): List<SliceOwner> = owners.filterNotNull().filter { !it.dropped }

    fun hostsOf(slice: SliceIndex): Sequence<HostRecord> = parts[slice.value].values.asSequence().flatMap { it.part.hosts }

    override fun machinesStamp(slice: SliceIndex): Long = parts[slice.value].values.maxOfOrNull { it.stamp } ?: 0L

    fun isLeaving(slice: SliceIndex, host: String) = parts[slice.value].values.any { host in it.part.leaving }

    // ---- what the watches tell --------------------------------------------------------------------------------------

    fun snapshot(items: List<Item>, askedAt: Long) {
        nodes.clear()
        leader = null
        items.forEach { see(it.path, it.value, it.stamp) }
        val seen = items.mapTo(HashSet()) { it.path }
        settings.members.filter { Keys.node(it.label) !in seen }.forEach { absentSince.putIfAbsent(it.label, clock.now()) }
        if (!freshness.clusterLoaded) log.info("read the state: {} slices, {} nodes", records.count { it != null }, nodes.size)
        freshness.clusterHeard(askedAt)
        shareLimits()
    }

    fun clusterEvents(events: List<Event>, askedAt: Long) {
        events.forEach { see(it.path, it.value, it.stamp) }
        freshness.clusterHeard(askedAt)
    }

    /** All unfinished jobs, read at the start and after a gap in the watch on jobs. */
    fun jobsSnapshot(items: List<Item>, epoch: Long, askedAt: Long) {
        jobs.load(items, epoch)
        if (!freshness.jobsLoaded) log.info("read {} unfinished jobs", items.size)
        freshness.jobsHeard(askedAt)
    }

    fun jobEvents(events: List<Event>, askedAt: Long) {
        events.forEach { jobs.see(it.path, it.value, it.stamp) }
        freshness.jobsHeard(askedAt)
    }

    private fun see(path: String, value: Fields?, stamp: Long) {
        guarded(path) {
            when {
                path == Keys.TOKEN -> {
                    if (value != null && stamp > tokenStamp) {
                        token = value.count("token")
                        tokenStamp = stamp
                    }
                }

                path == Keys.LEADER -> {
                    if (stamp > leaderStamp) {
                        leader = value?.text("label")
                        leaderStamp = stamp
                        if (leader != null) log.info("leader: {}", leader)
                        shareLimits()
                    }
                }

                path.startsWith(Keys.NODES) -> {
                    val label = path.removePrefix(Keys.NODES)
                    if (value != null) {
                        nodes.add(label)
                        absentSince.remove(label)
                    } else {
                        nodes.remove(label)
                        absentSince[label] = clock.now()
                        if (label == settings.label) nodeKeyLease = null
                    }
                    shareLimits()
                }

                path.startsWith(Keys.SLICES) -> {
                    val slice = path.removePrefix(Keys.SLICES).toIntOrNull()
                    if (slice != null && slice in records.indices && value != null) seeSlice(SliceIndex(slice), SliceRecord.parse(value), stamp)
                }

                path.startsWith(Keys.HOSTS) -> {
                    val (slice, part) = path.removePrefix(Keys.HOSTS).split('/').map { it.toIntOrNull() }.let { it.getOrNull(0) to it.getOrNull(1) }
                    if (slice != null && slice in records.indices && part != null && value != null) {
                        seePart(SliceIndex(slice), part, HostPart.parse(value), stamp)
                    }
                }
            }
        }
    }

    private fun seeSlice(slice: SliceIndex, record: SliceRecord, stamp: Long) {
        val held = records[slice.value]
        if (held != null && held.stamp >= stamp) return
        records[slice.value] = Held(record, stamp)
        if (held?.record?.owner != record.owner) complaints.newOwner(slice, clock.now())
        val owner = owners[slice.value] ?: return
        if (record.owner == settings.label) {
            owner.sync(record, stamp)
        } else {
            if (!owner.dropped) {
                log.info("slice {}: taken over by {} under token {}", slice.value, record.owner, record.token)
                // They had a reason, which may be one that we cannot see: taken home at once, the slice would go to and fro.
                homeNotBefore = clock.now() + homePauseMs
                homePauseMs = minOf(homePauseMs * 2, MOST_HOME_PAUSE_MS)
            }
            owner.dropped = true
            owners[slice.value] = null
        }
    }

    private fun seePart(slice: SliceIndex, index: Int, part: HostPart, stamp: Long) {
        val held = parts[slice.value][index]
        if (held != null && held.stamp >= stamp) return
        parts[slice.value][index] = HeldPart(part, stamp)
        val names = part.hosts.mapTo(HashSet()) { it.name }
        for (old in held?.part?.hosts.orEmpty()) {
            if (old.name !in names && hostSlices[old.name] == slice && hostsOf(slice).none { it.name == old.name }) {
                hostSlices.remove(old.name)
                departed[old.name] = clock.now()
                roster.forget(old.name)
            }
        }
        for (host in part.hosts) {
            hostSlices[host.name] = slice
            departed.remove(host.name)
        }
        owners[slice.value]?.syncHosts()
        out.expectMachines(hostSlices.size)
    }

    /** The machines of a slice and where they are to move, for its owner. */
    override fun machinesOf(slice: SliceIndex): Map<HostRecord, Int?> {
        val all = LinkedHashMap<HostRecord, Int?>()
        for (held in parts[slice.value].values) held.part.hosts.forEach { all[it] = held.part.leaving[it.name] }
        return all
    }

    /** Hosts that have left all slices lately: lists may still show them. */
    private val departed = HashMap<String, Long>()

    fun departedLately(host: String): Boolean = departed.containsKey(host)

    private inline fun guarded(what: String, read: () -> Unit) {
        try {
            read()
        } catch (e: MalformedException) {
            unreadable.note(what, e.message)
        }
    }

    private fun shareLimits() = out.shareLimits(maxOf(1, (nodes + settings.label).size), leading)

    // ---- time -------------------------------------------------------------------------------------------------------

    fun tick() {
        keepLease()
        freshness.resumeWaiters()
        if (!freshness.clusterLoaded) return
        val now = clock.now()
        queryPeers(now)
        // Late copies of a machine's reports come for longer than its lease; lists show it for twice their lag.
        departed.values.removeIf { now - it > ((settings.cloudLimits.listLagS + settings.workers.leaseS) * 3000 + 60_000).toLong() }
        if (fresh()) {
            claimNode()
            if (leader == null) claimLeader()
            slices.forEach { considerTaking(it, now) }
        } else {
            complaints.outOfTouch(now)
        }
        owned().forEach { it.tick() }
    }

    /** Another controller has sent a message. */
    fun peerSent(message: PeerMessage) = when (message) {
        is PeerMessage.SliceNews -> {
            jobs.noteProgress(message.jobs)
            roster.heard(message.hosts) { it in hostSlices }
        }

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

    fun pump() = owned().forEach { it.pump() }

    private fun keepLease() {
        val now = clock.now()
        if (leaseAsked || now < leaseDue) return
        leaseAsked = true
        leaseDue = now + LEASE_MS / 4
        out.extendLease(lease, LEASE_MS) { state ->
            leaseAsked = false
            when (state) {
                is LeaseState.Held -> {
                    if (state.fresh) nodeKeyLease = null
                    lease = state.lease
                }

                LeaseState.Lost -> {
                    lease = null
                    nodeKeyLease = null
                    leaseDue = 0
                }

                LeaseState.Unknown -> {}
            }
        }
    }

    private fun claimNode() {
        val held = lease ?: return
        if (claimingNode || nodeKeyLease == held) return
        claimingNode = true
        val path = Keys.node(settings.label)
        out.get(path) { fetched ->
            val stamp =
                when (fetched) {
                    is Fetched.Found -> fetched.item.stamp
                    is Fetched.Missing -> 0L
                    is Fetched.Failed -> {
                        claimingNode = false
                        return@get
                    }
                }
            out.commit(
                Change(listOf(Guard(path, stamp)), listOf(Write.Put(path, mapOf("label" to settings.label), held))) { outcome ->
                    claimingNode = false
                    when (outcome) {
                        is Outcome.Applied -> nodeKeyLease = held
                        is Outcome.Conflict -> {}
                        is Outcome.Refused -> if (lease == held) lease = null
                    }
                },
            )
        }
    }

    private fun claimLeader() {
        val held = lease ?: return
        if (claimingLeader || nodeKeyLease != held) return
        claimingLeader = true
        out.commit(
            Change(listOf(Guard(Keys.LEADER, 0)), listOf(Write.Put(Keys.LEADER, mapOf("label" to settings.label), held))) { outcome ->
                claimingLeader = false
                // The watch tells the same: whichever is first counts.
                if (outcome is Outcome.Applied && outcome.epoch > leaderStamp) see(Keys.LEADER, mapOf("label" to settings.label), outcome.epoch)
                if (outcome is Outcome.Refused && lease == held) lease = null
            },
        )
    }

    private fun considerTaking(slice: SliceIndex, now: Long) {
        if (taking[slice.value] || owners[slice.value] != null) return
        val home = slice.value == settings.self.value
        val owner = records[slice.value]?.record?.owner
        val wanted =
            when {
                owner == null -> home || now - startedAt > LEASE_MS
                owner == settings.label -> true
                owner !in nodes -> {
                    // The node with the least to do comes first; the others follow if it does not act.
                    val order = (nodes + settings.label).sortedWith(compareBy({ label -> records.count { it?.record?.owner == label } }, { it }))
                    val place = order.indexOf(settings.label)
                    now - (absentSince[owner] ?: now) > place * TURN_MS && now - startedAt > TURN_MS
                }
                home -> now - startedAt > SETTLED_MS && now > homeNotBefore && records.count { it?.record?.owner == owner } > 1
                else -> false
            }
        if (wanted && now - lastTaken[slice.value] > RETAKE_MS) take(slice)
        if (!wanted && owner in nodes) heedComplaints(slice, now)
    }

    /**
     * Takes a slice whose owner lives, if its machines do not reach that owner.
     *
     * One of them must answer a call before: late copies of the reports of dead machines complain as well.
     */
    private fun heedComplaints(slice: SliceIndex, now: Long) {
        if (asking[slice.value] || complaints.none(slice)) return
        val machines = hostsOf(slice).count { roster.of(it.name).addr != null }
        val some = complaints.ofMost(slice, machines, now)
        val owner = ownerOf(slice)
        for ((host, addr) in some) {
            asking[slice.value] = true
            // Neither token nor session are the worker's: nothing is executed, and the refusal is its newest report.
            out.direct(addr, 0L, 0L, emptyList()) { reply ->
                asking[slice.value] = false
                if ((reply as? Reply.Answer)?.body?.get("host") == host && fresh() && ownerOf(slice) == owner && !taking[slice.value]) {
                    log.info("slice {}: its machines do not reach {}", slice.value, owner)
                    take(slice)
                }
            }
        }
    }

    private fun take(slice: SliceIndex) {
        if (taking[slice.value] || claiming) return
        taking[slice.value] = true
        // Two takes at once would both want the next token.
        claiming = true
        val now = clock.now()
        lastTaken[slice.value] = now
        val held = records[slice.value]
        val fresh = Token.after(token)
        val record = SliceRecord(settings.label, fresh)
        val guards = listOf(Guard(Keys.slice(slice.value), held?.stamp ?: 0L), Guard(Keys.TOKEN, tokenStamp))
        val writes = listOf(Write.Put(Keys.slice(slice.value), record.toFields()), Write.Put(Keys.TOKEN, mapOf("token" to fresh)))
        out.commit(
            Change(guards, writes) { outcome ->
                claiming = false
                if (outcome is Outcome.Applied) {
                    owners[slice.value]?.dropped = true
                    owners[slice.value] = null
                    seeToken(fresh, outcome.epoch)
                    seeSlice(slice, record, outcome.epoch)
                    val owner = SliceOwner(slice, settings, tuning, clock, out, flavors, ::fresh, this)
                    owner.sync(record, outcome.epoch)
                    owners[slice.value] = owner
                    read(owner)
                } else {
                    // Mostly another node took the token we wanted. After a restart of all, every second counts.
                    taking[slice.value] = false
                    lastTaken[slice.value] = clock.now() - RETAKE_MS + RETRY_TAKE_MS * (settings.self.value + 1)
                    refresh(slice)
                    refreshToken()
                }
            },
        )
    }

    /** Reads the progress of a slice just taken: stored before the new term, it cannot change any more. */
    private fun read(owner: SliceOwner) {
        val slice = owner.index
        var pages: List<Item>? = null
        var totals: Fetched = Fetched.Failed
        var open = 2
        val startedAt = clock.now()

        fun finish(known: Boolean) {
            taking[slice.value] = false
            val read = pages
            if (owner.dropped) return
            if (!known || read == null || totals is Fetched.Failed) {
                log.info("slice {}: could not be read; tried again", slice.value)
                owner.dropped = true
                owners[slice.value] = null
                lastTaken[slice.value] = clock.now() - RETAKE_MS + RETRY_TAKE_MS * (settings.self.value + 1)
            } else {
                owner.load(jobs.liveOf(slice), read, (totals as? Fetched.Found)?.item)
                log.info("slice {}: read in {} ms", slice.value, clock.now() - startedAt)
            }
        }

        // A page may name a job that the watch has not told of yet: without the wait its tasks would run twice.
        fun part() {
            if (--open == 0) freshness.whenJobsKnown { finish(it) }
        }
        out.list(Keys.pagesOf(slice.value)) {
            pages = it
            part()
        }
        out.get(Keys.totals(slice.value)) {
            totals = it
            part()
        }
    }

    private fun seeToken(value: Long, stamp: Long) {
        if (stamp > tokenStamp) {
            token = value
            tokenStamp = stamp
        }
    }

    // ---- changes to slice records -----------------------------------------------------------------------------------

    override fun renewToken(slice: SliceIndex) {
        if (clock.now() - lastTaken[slice.value] > RETAKE_MS) {
            log.info("slice {}: a worker has seen a higher token", slice.value)
            take(slice)
        }
    }

    override fun refresh(slice: SliceIndex) {
        if (refreshing[slice.value]) return
        refreshing[slice.value] = true
        out.get(Keys.slice(slice.value)) { fetched ->
            refreshing[slice.value] = false
            if (fetched is Fetched.Found) see(fetched.item.path, fetched.item.value, fetched.item.stamp)
        }
    }

    private fun reread(path: String) = out.get(path) { if (it is Fetched.Found) see(it.item.path, it.item.value, it.item.stamp) }

    private fun refreshToken() = reread(Keys.TOKEN)

    override fun removeHosts(slice: SliceIndex, hosts: Set<String>) {
        val term = records[slice.value]?.takeIf { it.record.owner == settings.label }?.stamp ?: return
        for ((index, held) in parts[slice.value]) {
            if (held.part.hosts.none { it.name in hosts }) continue
            rewrite(slice, index, held.part.without(hosts), Guard(Keys.slice(slice.value), term), haste = Haste.LAZY) {}
        }
    }

    /** Moves empty machines, as many as share a record and a destination; the others follow with the next call. */
    override fun handOver(slice: SliceIndex, hosts: Collection<String>) {
        val from = records[slice.value] ?: return
        val (index, held) = parts[slice.value].entries.firstOrNull { (_, held) -> hosts.any { it in held.part.leaving } } ?: return
        val to = hosts.firstNotNullOfOrNull { held.part.leaving[it] }?.let { SliceIndex(it) } ?: return
        val target = records.getOrNull(to.value) ?: return
        if (to == slice) return
        val moving = held.part.hosts.filter { it.name in hosts && held.part.leaving[it.name] == to.value }
        val (toIndex, toHeld, grown) = roomIn(to, moving)
        val moved = moving.filter { grown.holds(it.name) }.mapTo(HashSet()) { it.name }
        val fromPath = Keys.hosts(slice.value, index)
        val toPath = Keys.hosts(to.value, toIndex)
        if (moved.isEmpty() || fromPath in writing || toPath in writing) return
        val left = held.part.without(moved)
        val guards = arrayListOf(Guard(Keys.slice(slice.value), from.stamp), Guard(fromPath, held.stamp), Guard(toPath, toHeld?.stamp ?: 0L))
        val writes = arrayListOf<Write>(Write.Put(fromPath, left.toFields()), Write.Put(toPath, grown.toFields()))
        // The other slice's owner must have a token above all that these machines have seen, which is at most ours.
        val renewed = if (target.record.token > from.record.token) null else target.record.copy(token = Token.after(token))
        guards.add(Guard(Keys.slice(to.value), target.stamp))
        if (renewed != null) {
            guards.add(Guard(Keys.TOKEN, tokenStamp))
            writes.add(Write.Put(Keys.slice(to.value), renewed.toFields()))
            writes.add(Write.Put(Keys.TOKEN, mapOf("token" to renewed.token)))
        }
        writing.add(fromPath)
        writing.add(toPath)
        out.commit(
            Change(guards, writes) { outcome ->
                writing.remove(fromPath)
                writing.remove(toPath)
                if (outcome is Outcome.Applied) {
                    log.info("{}: moved from slice {} to slice {}", moved, slice.value, to.value)
                    if (renewed != null) {
                        seeToken(renewed.token, outcome.epoch)
                        seeSlice(to, renewed, outcome.epoch)
                    }
                    seePart(to, toIndex, grown, outcome.epoch)
                    seePart(slice, index, left, outcome.epoch)
                } else {
                    refresh(slice)
                    refresh(to)
                    refreshToken()
                    reread(fromPath)
                    reread(toPath)
                }
            },
        )
    }

    private data class Grown(val index: Int, val held: HeldPart?, val part: HostPart)

    /** The first record of a slice's machines, or a new one, that has room for some of [hosts], with them in it. */
    private fun roomIn(slice: SliceIndex, hosts: List<HostRecord>): Grown {
        val bytes = settings.stateLimits.valueBytes
        for ((index, held) in parts[slice.value]) {
            val grown = held.part.with(hosts, bytes)
            if (grown.hosts.size > held.part.hosts.size) return Grown(index, held, grown)
        }
        return Grown((parts[slice.value].keys.maxOrNull() ?: -1) + 1, null, HostPart.EMPTY.with(hosts, bytes))
    }

    /** The leader gives machines to a slice; [seen] is the highest token that any of them has seen. [done] tells which were. */
    fun addHosts(slice: SliceIndex, hosts: List<HostRecord>, seen: Long, done: (Set<String>) -> Unit) {
        val owner = records[slice.value]
        val (index, held, grown) = roomIn(slice, hosts)
        val names = hosts.mapTo(HashSet()) { it.name }.apply { removeIf { !grown.holds(it) } }
        if (owner == null || names.isEmpty()) {
            done(emptySet())
            return
        }
        val lead = Guard(Keys.LEADER, leaderStamp)
        val sofar = held ?: HeldPart(HostPart.EMPTY, 0L)
        if (seen <= owner.record.token) {
            rewrite(slice, index, grown, lead, sofar) { done(if (it) names else emptySet()) }
            return
        }
        val renewed = owner.record.copy(token = Token.after(maxOf(token, seen)))
        val guards = listOf(Guard(Keys.TOKEN, tokenStamp), Guard(Keys.slice(slice.value), owner.stamp))
        val writes = listOf(Write.Put(Keys.slice(slice.value), renewed.toFields()), Write.Put(Keys.TOKEN, mapOf("token" to renewed.token)))
        rewrite(slice, index, grown, lead, sofar, guards, writes) { ok ->
            if (!ok) refreshToken()
            done(if (ok) names else emptySet())
        }
    }

    /** The leader marks machines that are to leave for another slice as soon as they are empty. */
    fun markLeaving(slice: SliceIndex, hosts: Collection<String>, to: SliceIndex) {
        for ((index, held) in parts[slice.value]) {
            val mine = held.part.hosts.filter { it.name in hosts }
            if (mine.isEmpty()) continue
            var marks = mine.size
            fun marked() = held.part.copy(leaving = held.part.leaving + mine.take(marks).associate { it.name to to.value })
            while (marks > 0 && Tree.jsonSize(marked().toFields()) > settings.stateLimits.valueBytes * MARKED) marks /= 2
            if (marks > 0) rewrite(slice, index, marked(), Guard(Keys.LEADER, leaderStamp)) {}
        }
    }

    private fun rewrite(
        slice: SliceIndex,
        index: Int,
        part: HostPart,
        entitled: Guard,
        held: HeldPart? = parts[slice.value][index],
        moreGuards: List<Guard> = emptyList(),
        moreWrites: List<Write.Put> = emptyList(),
        haste: Haste = Haste.PROMPT,
        done: (Boolean) -> Unit,
    ) {
        val path = Keys.hosts(slice.value, index)
        if (held == null || !writing.add(path)) {
            done(false)
            return
        }
        out.commit(
            Change(listOf(Guard(path, held.stamp), entitled) + moreGuards, listOf(Write.Put(path, part.toFields())) + moreWrites, haste) { outcome ->
                writing.remove(path)
                if (outcome is Outcome.Applied) {
                    moreWrites.forEach { see(it.path, it.value, outcome.epoch) }
                    seePart(slice, index, part, outcome.epoch)
                } else {
                    reread(path)
                    refresh(slice)
                }
                done(outcome is Outcome.Applied)
            },
        )
    }

    private companion object {
        const val MARKED = 0.95
        const val LEASE_MS = 4_000L
        const val QUERY_PEERS_AFTER_MS = 3_500L
        const val QUERY_PEERS_EVERY_MS = 1_000L
        const val TURN_MS = 700L
        const val SETTLED_MS = 8_000L
        const val FIRST_HOME_PAUSE_MS = 30_000L
        const val MOST_HOME_PAUSE_MS = 240_000L
        const val RETRY_TAKE_MS = 100L
        const val RETAKE_MS = 3_000L
    }
}

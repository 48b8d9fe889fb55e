package io.reedmast.ownership

import io.reedmast.app.Clock
import io.reedmast.app.LeaseState
import io.reedmast.app.Outward
import io.reedmast.jobs.RefRecord
import io.reedmast.jobs.SliceOwner
import io.reedmast.jobs.SliceRecords
import io.reedmast.settings.Settings
import io.reedmast.settings.SliceIndex
import io.reedmast.settings.Tuning
import io.reedmast.state.Change
import io.reedmast.state.Event
import io.reedmast.state.Fetched
import io.reedmast.state.Guard
import io.reedmast.state.Item
import io.reedmast.state.Keys
import io.reedmast.state.Outcome
import io.reedmast.state.Write
import io.reedmast.wire.Fields
import io.reedmast.wire.Flavor
import io.reedmast.wire.MalformedException
import io.reedmast.wire.count
import io.reedmast.wire.text
import io.reedmast.workers.HostRecord
import org.slf4j.LoggerFactory

/** A slice record as last seen, with its stamp. */
data class Held(val record: SliceRecord, val stamp: Long)

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
) : SliceRecords {
    private val log = LoggerFactory.getLogger("cluster")
    private val slices = (0 until settings.slices).map { SliceIndex(it) }
    val records = arrayOfNulls<Held>(settings.slices)
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
    private val writing = BooleanArray(settings.slices)
    private val lastTaken = LongArray(settings.slices) { Long.MIN_VALUE / 2 }
    private val refreshing = BooleanArray(settings.slices)
    private val startedAt = clock.now()
    private var loaded = false

    /** When the newest complete answers of the two watches were asked for: what was stored before is known here. */
    private var clusterKnownAt = Long.MIN_VALUE / 2
    private var refsKnownAt = Long.MIN_VALUE / 2

    val leading: Boolean get() = leader == settings.label

    /** Whether this node has lately heard enough from the state service to decide anything. */
    fun fresh(): Boolean = loaded && clock.now() - minOf(clusterKnownAt, refsKnownAt) < FRESH_MS

    /**
     * Whether this node may still answer workers with 200.
     *
     * Behind a cut, a cancelled task must be gone `cancel_s` after its user was told, and a worker's lease lasts
     * `lease_s` after our last answer; a node that has not heard of the cancellation stops answering before that.
     */
    fun mayAnswerWorkers(): Boolean {
        val rules = settings.workers
        val fenceS = (rules.cancelS - rules.leaseS) * (1 - CLOCK_DRIFT) - FENCE_SLACK_S
        return loaded && clock.now() - minOf(clusterKnownAt, refsKnownAt) < maxOf(fenceS, 1.0) * 1000
    }

    /** Whether requests of users can be taken. */
    val ready: Boolean get() = loaded

    fun sliceOfHost(host: String): SliceIndex? = hostSlices[host]

    fun ownerOf(slice: SliceIndex): String? = records[slice.value]?.record?.owner

    fun owned(): List<SliceOwner> = owners.filterNotNull().filter { !it.dropped }

    // ---- what the watches tell --------------------------------------------------------------------------------------

    fun snapshot(items: List<Item>, askedAt: Long) {
        nodes.clear()
        leader = null
        items.forEach { see(it.path, it.value, it.stamp) }
        val seen = items.mapTo(HashSet()) { it.path }
        settings.members.filter { Keys.node(it.label) !in seen }.forEach { absentSince.putIfAbsent(it.label, clock.now()) }
        clusterKnownAt = askedAt
        if (!loaded) {
            refsKnownAt = askedAt
            loaded = true
            log.info("read the state: {} slices, {} nodes", records.count { it != null }, nodes.size)
        }
        shareLimits()
    }

    fun clusterEvents(events: List<Event>, askedAt: Long) {
        events.forEach { see(it.path, it.value, it.stamp) }
        clusterKnownAt = maxOf(clusterKnownAt, askedAt)
    }

    fun refEvents(events: List<Event>, askedAt: Long) {
        for (event in events) {
            val value = event.value ?: continue
            guarded(event.path) { refChanged(event.path.removePrefix(Keys.REFS), RefRecord.parse(value), event.stamp) }
        }
        refsKnownAt = maxOf(refsKnownAt, askedAt)
        owned().forEach { it.settle() }
    }

    /** The watch on jobs has a gap: everything owned is read again. */
    fun refsLost() {
        log.info("the watch on jobs has a gap; all slices are read again")
        owned().forEach { lastTaken[it.index.value] = Long.MIN_VALUE / 2 }
        owned().forEach { take(it.index) }
    }

    fun refChanged(ref: String, record: RefRecord, stamp: Long) {
        owners.getOrNull(record.slice)?.takeIf { !it.dropped }?.refChanged(ref, record, stamp)
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

                path.startsWith(NODE_PREFIX) -> {
                    val label = path.removePrefix(NODE_PREFIX)
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

                path.startsWith(SLICE_PREFIX) -> {
                    val index = path.removePrefix(SLICE_PREFIX).toIntOrNull()
                    if (index != null && index in records.indices && value != null) {
                        seeSlice(SliceIndex(index), SliceRecord.parse(value), stamp)
                    }
                }
            }
        }
    }

    private fun seeSlice(slice: SliceIndex, record: SliceRecord, stamp: Long) {
        val held = records[slice.value]
        if (held != null && held.stamp >= stamp) return
        records[slice.value] = Held(record, stamp)
        hostSlices.values.removeIf { it == slice }
        record.hosts.forEach { hostSlices[it.name] = slice }
        held?.record?.hosts?.filter { old -> record.hosts.none { it.name == old.name } }?.forEach { onHostLeft(it.name) }
        val owner = owners[slice.value] ?: return
        if (record.owner == settings.label) {
            owner.sync(record, stamp)
            owner.settle()
        } else {
            if (!owner.dropped) log.info("slice {}: taken over by {} under token {}", slice.value, record.owner, record.token)
            owner.dropped = true
            owners[slice.value] = null
        }
    }

    /** Hosts that have left all slices lately: lists may still show them. */
    private val departed = HashMap<String, Long>()

    private fun onHostLeft(host: String) {
        departed[host] = clock.now()
    }

    fun departedLately(host: String): Boolean = departed.containsKey(host)

    private inline fun guarded(what: String, read: () -> Unit) {
        try {
            read()
        } catch (e: MalformedException) {
            log.error("record {} cannot be read: {}", what, e.message)
        }
    }

    private fun shareLimits() = out.shareLimits(maxOf(1, (nodes + settings.label).size), leading)

    // ---- time -------------------------------------------------------------------------------------------------------

    fun tick() {
        keepLease()
        if (!loaded) return
        val now = clock.now()
        departed.values.removeIf { now - it > (settings.cloudLimits.listLagS * 3000 + 60_000).toLong() }
        if (fresh()) {
            claimNode()
            if (leader == null) claimLeader()
            slices.forEach { considerTaking(it, now) }
        }
        owned().forEach { it.tick() }
    }

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
                home -> now - startedAt > SETTLED_MS && records.count { it?.record?.owner == owner } > 1
                else -> false
            }
        if (wanted && now - lastTaken[slice.value] > RETAKE_MS) take(slice)
    }

    private fun take(slice: SliceIndex) {
        if (taking[slice.value] || claiming) return
        taking[slice.value] = true
        // Two takes at once would both want the next token.
        claiming = true
        val now = clock.now()
        lastTaken[slice.value] = now
        val held = records[slice.value]
        val fresh = token + 1
        val record = held?.record?.copy(owner = settings.label, token = fresh) ?: SliceRecord(settings.label, fresh, emptyList(), emptyMap())
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
                    owners[slice.value] = owner
                    read(owner, record, outcome.epoch)
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

    private fun read(owner: SliceOwner, record: SliceRecord, term: Long) {
        val slice = owner.index
        out.list(Keys.liveOf(slice.value)) { items ->
            out.get(Keys.totals(slice.value)) { totals ->
                taking[slice.value] = false
                if (owner.dropped) return@get
                if (items == null || totals is Fetched.Failed) {
                    owner.dropped = true
                    owners[slice.value] = null
                } else {
                    val latest = records[slice.value]?.takeIf { it.stamp > term && it.record.owner == settings.label }
                    owner.load(latest?.record ?: record, latest?.stamp ?: term, items, (totals as? Fetched.Found)?.item)
                    owner.settle()
                }
            }
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
            if (fetched is Fetched.Found) {
                see(fetched.item.path, fetched.item.value, fetched.item.stamp)
                owners[slice.value]?.settle()
            }
        }
    }

    private fun refreshToken() {
        out.get(Keys.TOKEN) { if (it is Fetched.Found) see(it.item.path, it.item.value, it.item.stamp) }
    }

    override fun removeHosts(slice: SliceIndex, hosts: Set<String>) {
        val held = records[slice.value] ?: return
        val leaving = hosts.filter { name -> held.record.hosts.any { it.name == name } }
        if (leaving.isNotEmpty()) rewrite(slice, leaving.fold(held.record) { record, host -> record.without(host) }) {}
    }

    override fun handOver(slice: SliceIndex, host: String) {
        val from = records[slice.value] ?: return
        val to = from.record.leaving[host]?.let { SliceIndex(it) } ?: return
        val target = records.getOrNull(to.value) ?: return
        val machine = from.record.hosts.firstOrNull { it.name == host } ?: return
        if (to == slice || writing[slice.value]) return
        writing[slice.value] = true
        // The other slice's owner must have a token above all that this machine has seen.
        val fresh = token + 1
        val left = from.record.without(host)
        val grown = target.record.with(listOf(machine)).copy(token = fresh)
        val guards = listOf(Guard(Keys.slice(slice.value), from.stamp), Guard(Keys.slice(to.value), target.stamp), Guard(Keys.TOKEN, tokenStamp))
        val writes =
            listOf(
                Write.Put(Keys.slice(slice.value), left.toFields()),
                Write.Put(Keys.slice(to.value), grown.toFields()),
                Write.Put(Keys.TOKEN, mapOf("token" to fresh)),
            )
        out.commit(
            Change(guards, writes) { outcome ->
                writing[slice.value] = false
                if (outcome is Outcome.Applied) {
                    log.info("{}: moved from slice {} to slice {}", host, slice.value, to.value)
                    seeToken(fresh, outcome.epoch)
                    seeSlice(slice, left, outcome.epoch)
                    seeSlice(to, grown, outcome.epoch)
                } else {
                    refresh(slice)
                    refresh(to)
                    refreshToken()
                }
            },
        )
    }

    /** The leader gives machines to a slice; [seen] is the highest token that any of them has seen. */
    fun addHosts(slice: SliceIndex, hosts: List<HostRecord>, seen: Long, done: (Boolean) -> Unit) {
        val held = records[slice.value]
        if (held == null || writing[slice.value]) {
            done(false)
            return
        }
        if (seen <= held.record.token) {
            rewrite(slice, held.record.with(hosts), done = done)
            return
        }
        val fresh = token + 1
        rewrite(slice, held.record.with(hosts).copy(token = fresh), Guard(Keys.TOKEN, tokenStamp), Write.Put(Keys.TOKEN, mapOf("token" to fresh)), done)
    }

    /** The leader marks machines that are to leave for another slice as soon as they are empty. */
    fun markLeaving(slice: SliceIndex, hosts: Collection<String>, to: SliceIndex) {
        val held = records[slice.value] ?: return
        rewrite(slice, held.record.copy(leaving = held.record.leaving + hosts.associateWith { to.value })) {}
    }

    private fun rewrite(slice: SliceIndex, record: SliceRecord, moreGuard: Guard? = null, moreWrite: Write? = null, done: (Boolean) -> Unit) {
        val held = records[slice.value]
        if (held == null || writing[slice.value]) {
            done(false)
            return
        }
        writing[slice.value] = true
        val leaderGuard = if (held.record.owner == settings.label) null else Guard(Keys.LEADER, leaderStamp)
        out.commit(
            Change(
                listOfNotNull(Guard(Keys.slice(slice.value), held.stamp), leaderGuard, moreGuard),
                listOfNotNull(Write.Put(Keys.slice(slice.value), record.toFields()), moreWrite),
            ) { outcome ->
                writing[slice.value] = false
                if (outcome is Outcome.Applied) {
                    if (moreWrite != null) seeToken(record.token, outcome.epoch)
                    seeSlice(slice, record, outcome.epoch)
                } else {
                    refresh(slice)
                    if (moreWrite != null) refreshToken()
                }
                done(outcome is Outcome.Applied)
            },
        )
    }

    private companion object {
        const val NODE_PREFIX = "c/node/"
        const val SLICE_PREFIX = "c/slice/"
        const val LEASE_MS = 4_000L
        const val FRESH_MS = 6_000L
        const val CLOCK_DRIFT = 0.001
        const val FENCE_SLACK_S = 2.0
        const val TURN_MS = 700L
        const val SETTLED_MS = 8_000L
        const val RETRY_TAKE_MS = 100L
        const val RETAKE_MS = 3_000L
    }
}

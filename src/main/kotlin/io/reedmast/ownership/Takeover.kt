package io.reedmast.ownership

import io.reedmast.jobs.JobIndex
import io.reedmast.jobs.SliceOwner
import io.reedmast.peers.PeerMessage
import io.reedmast.ports.Clock
import io.reedmast.ports.Gateway
import io.reedmast.settings.Settings
import io.reedmast.settings.SliceIndex
import io.reedmast.state.Change
import io.reedmast.state.Fetched
import io.reedmast.state.Guard
import io.reedmast.state.Item
import io.reedmast.state.Keys
import io.reedmast.state.Outcome
import io.reedmast.state.Write
import io.reedmast.wire.Reply
import io.reedmast.workers.HostDirectory
import org.slf4j.LoggerFactory

/**
 * When this node takes a slice, and how.
 *
 * Taking is a conditional write of the slice's record under a fresh token. It is safe at any time; the rules here only choose
 * a good moment for it.
 */
class Takeover(
    private val settings: Settings,
    private val clock: Clock,
    private val out: Gateway,
    private val freshness: Freshness,
    private val membership: Membership,
    private val slices: SliceTable,
    private val machines: MachineTable,
    private val jobs: JobIndex,
    private val hostDirectory: HostDirectory,
    private val contact: WorkerContact,
    private val rollout: ClusterRollout,
    /** The owners of this node's slices, by slice. */
    private val owners: Array<SliceOwner?>,
    private val newOwner: (SliceIndex) -> SliceOwner,
    /** Reads a key again after a change that was not applied. */
    private val reread: (String) -> Unit,
) {
    private val log = LoggerFactory.getLogger("cluster")
    private val misdirected = MisdirectedReports(settings.slices, settings.workers.reportS)
    private val startedAt = clock.now()

    /** A slice's record that this node is about to store. */
    private class Claim(val slice: SliceIndex, val record: SliceRecord)

    /** The take that is not settled: two at once would both want the next token. */
    private var claim: Claim? = null
    private val taking = BooleanArray(settings.slices)
    private val asking = BooleanArray(settings.slices)
    private val notBefore = LongArray(settings.slices)

    /** Slices whose owners have asked the others to take them: since when, and for which term. */
    private val requests = HashMap<SliceIndex, Request>()

    private class Request(val at: Long, val term: Long)

    /** Until then a slice that others have taken from this node is left to them, and how long that is the next time. */
    private var homeNotBefore = 0L
    private var homePauseMs = FIRST_HOME_PAUSE_MS

    /** Considers each slice; called while the state service is heard. */
    fun tick(now: Long) {
        for (index in taking.indices) consider(SliceIndex(index), now)
    }

    /** This node hears nothing from the state service. */
    fun outOfTouch(now: Long) = misdirected.outOfTouch(now)

    /** Another controller has taken a slice of this node's, and has a reason that may not be visible here. */
    fun noteTakenByAnother() {
        // Taken home at once, the slice would go to and fro.
        homeNotBefore = clock.now() + homePauseMs
        homePauseMs = minOf(homePauseMs * 2, MOST_HOME_PAUSE_MS)
    }

    /** The owner of a slice does not hear its workers. A late copy of its request names a term that is over. */
    fun requested(message: PeerMessage.TakeoverRequest) {
        val slice = message.slice
        if (slices.records.getOrNull(slice.value)?.version != message.term) return
        if (requests[slice]?.term != message.term) requests[slice] = Request(clock.now(), message.term)
    }

    fun noteNewOwner(slice: SliceIndex) = misdirected.newOwner(slice, clock.now())

    /** Where to send a worker of [slice], which is not ours: to its owner, but not twice in a row to one that is silent. */
    fun sendOn(slice: SliceIndex, host: String, addr: String): String? {
        val facts = hostDirectory.of(host)
        // A new machine reports to any node first: with a slice that grows fast, most of its workers are new ones.
        val known = facts.addr == addr
        facts.addr = addr
        val again = known && misdirected.sentOn(slice, host, addr, clock.now())
        return slices.ownerOf(slice)?.takeIf { it != settings.label && !again }
    }

    private fun consider(slice: SliceIndex, now: Long) {
        if (taking[slice.value] || owners[slice.value] != null) return
        val owner = slices.ownerOf(slice)
        if (rollout.isDraining && owner != settings.label) return
        val wanted = isWanted(slice, owner, now)
        if (wanted && now > notBefore[slice.value]) takeIfInContact(slice, owner, now)
        if (!wanted && owner != null && membership.isPresent(owner)) considerMisdirected(slice, now)
    }

    /** Takes the slice of another controller only if its workers can be reached, or if nobody else has taken it for long. */
    private fun takeIfInContact(slice: SliceIndex, owner: String?, now: Long) {
        val addresses = machines.hostsOf(slice).mapNotNull { hostDirectory.of(it.name).addr }.toList()
        val ofAnother = owner != null && owner != settings.label
        val abandoned = ofAnother && !membership.isPresent(owner) && membership.absentForMs(owner, now) > ABANDONED_MS
        if (!ofAnother || abandoned || contact.isRecent || addresses.isEmpty()) {
            take(slice)
            return
        }
        contact.probe(slice, addresses) {
            log.info("slice {}: its workers are not reached from here; it is not taken", slice.value)
            notBefore[slice.value] = clock.now() + UNREACHED_PAUSE_MS
        }
    }

    private fun isWanted(slice: SliceIndex, owner: String?, now: Long): Boolean {
        val home = slice.value == settings.self.value
        return when {
            owner == null -> home || now - startedAt > Membership.LEASE_MS

            owner == settings.label -> true

            !membership.isPresent(owner) -> {
                membership.absentForMs(owner, now) > turn(owner) * TURN_MS && now - startedAt > TURN_MS
            }

            isRequested(slice) -> now - (requests[slice]?.at ?: now) > turn(owner) * TURN_MS

            home -> now - startedAt > SETTLED_MS && now > homeNotBefore && slices.countOf(owner) > 1

            else -> false
        }
    }

    private fun isRequested(slice: SliceIndex) = requests[slice]?.let { it.term == slices.records[slice.value]?.version } ?: false

    /** The node with the least to do comes first; the others follow if it does not act. */
    private fun turn(owner: String): Int =
        (membership.alive() - owner - rollout.draining()).sortedWith(compareBy({ slices.countOf(it) }, { it })).indexOf(settings.label)

    /**
     * Takes a slice whose owner lives, if its machines do not reach that owner.
     *
     * One of them must answer a call before: late copies of the reports of dead machines complain as well.
     */
    private fun considerMisdirected(slice: SliceIndex, now: Long) {
        if (asking[slice.value] || misdirected.none(slice)) return
        val known = machines.hostsOf(slice).count { hostDirectory.of(it.name).addr != null }
        val some = misdirected.ofMost(slice, known, now)
        val owner = slices.ownerOf(slice)
        for ((host, addr) in some) {
            asking[slice.value] = true
            // Neither token nor session are the worker's: nothing is executed, and the refusal is its newest report.
            out.direct(addr, 0L, 0L, emptyList()) { reply ->
                asking[slice.value] = false
                val answers = (reply as? Reply.Answer)?.body?.get("host") == host
                if (answers && freshness.isFresh && slices.ownerOf(slice) == owner && !taking[slice.value]) {
                    log.info("slice {}: its machines do not reach {}", slice.value, owner)
                    take(slice)
                }
            }
        }
    }

    /** Takes the slice again for a higher token: a worker has seen one that is above ours. */
    fun renewToken(slice: SliceIndex) {
        if (clock.now() <= notBefore[slice.value]) return
        log.info("slice {}: a worker has seen a higher token", slice.value)
        take(slice)
    }

    /** Takes a slice of this node's again, to read what is stored of it in smaller parts. */
    fun reload(slice: SliceIndex) {
        if (clock.now() <= notBefore[slice.value]) return
        log.info("slice {}: read again, to be stored in smaller parts", slice.value)
        take(slice)
    }

    private fun take(slice: SliceIndex) {
        if (taking[slice.value] || claim != null) return
        taking[slice.value] = true
        notBefore[slice.value] = clock.now() + RETAKE_MS
        val held = slices.records[slice.value]
        val fresh = Token.after(slices.token)
        val record = SliceRecord(settings.label, fresh)
        val mine = Claim(slice, record).also { claim = it }
        // A process that has not heard of a move of the gates takes nothing: it may not be able to read what it would own.
        val counter = TokenFence.moveTo(fresh, slices.tokenVersion, rollout.gates)
        val guards = counter.guards + Guard(Keys.slice(slice.value), held?.version ?: 0L)
        val writes = listOf(Write.Put(Keys.slice(slice.value), record.toFields()), counter.write)
        out.commit(
            Change(guards, writes) { outcome ->
                if (claim !== mine) return@Change
                claim = null
                if (outcome is Outcome.Applied) {
                    taken(slice, record, outcome.revision)
                } else {
                    // Mostly another node took the token we wanted.
                    retrySoon(slice)
                    reread(Keys.slice(slice.value))
                    reread(Keys.TOKEN)
                    if (outcome is Outcome.Conflict && Keys.ROLLOUT in outcome.failed) rollout.refreshGates()
                }
            },
        )
    }

    /**
     * The watch tells of a record with this node as owner. If it is the one that a take is about to store, the slice is taken: its
     * answer may be lost for seconds, in which an owner of before would act under the new term.
     */
    fun settledByWatch(slice: SliceIndex, record: SliceRecord, version: Long): Boolean {
        val open = claim ?: return false
        if (open.slice != slice || open.record != record) return false
        claim = null
        taken(slice, record, version)
        return true
    }

    private fun taken(slice: SliceIndex, record: SliceRecord, revision: Long) {
        val known = slices.records[slice.value]
        if (known != null && known.version > revision) {
            // Settled late, and another controller has taken the slice since.
            retrySoon(slice)
            return
        }
        owners[slice.value]?.dropped = true
        owners[slice.value] = null
        slices.seeToken(record.token, revision)
        slices.seeSlice(slice, record, revision)
        val owner = newOwner(slice)
        owner.sync(record, revision)
        owners[slice.value] = owner
        read(owner)
    }

    /** After a restart of all, every second counts; the nodes do not try at the same moment. */
    private fun retrySoon(slice: SliceIndex) {
        taking[slice.value] = false
        notBefore[slice.value] = clock.now() + RETRY_TAKE_MS * (settings.self.value + 1)
    }

    /** Reads the progress of a slice just taken: stored before the new term, it cannot change any more. */
    private fun read(owner: SliceOwner) {
        val slice = owner.index
        var pages: List<Item>? = null
        var totals: Fetched = Fetched.Failed
        var open = 2
        val startedAt = clock.now()

        // A page may name a job that the watch has not told of yet: without the wait its tasks would run twice.
        fun part() {
            if (--open == 0) freshness.whenJobsKnown { known -> finishReading(owner, pages.takeIf { known }, totals, startedAt) }
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

    private fun finishReading(owner: SliceOwner, pages: List<Item>?, totals: Fetched, since: Long) {
        val slice = owner.index
        taking[slice.value] = false
        if (owner.dropped) return
        if (pages == null || totals is Fetched.Failed) {
            log.info("slice {}: could not be read; tried again", slice.value)
            owner.dropped = true
            owners[slice.value] = null
            retrySoon(slice)
            return
        }
        owner.load(jobs.liveOf(slice), pages, (totals as? Fetched.Found)?.item)
        log.info("slice {}: read in {} ms", slice.value, clock.now() - since)
    }

    private companion object {
        const val TURN_MS = 700L
        const val SETTLED_MS = 8_000L
        const val FIRST_HOME_PAUSE_MS = 30_000L
        const val MOST_HOME_PAUSE_MS = 240_000L
        const val RETRY_TAKE_MS = 100L
        const val RETAKE_MS = 3_000L

        /** Twice the time in which the others find that the slice needs another owner. */
        const val ABANDONED_MS = 20_000L
        const val UNREACHED_PAUSE_MS = 5_000L
    }
}

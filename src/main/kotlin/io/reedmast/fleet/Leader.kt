package io.reedmast.fleet

import io.reedmast.ownership.Cluster
import io.reedmast.ports.Clock
import io.reedmast.ports.Gateway
import io.reedmast.ports.Rented
import io.reedmast.settings.Settings
import io.reedmast.settings.SliceIndex
import io.reedmast.settings.Tuning
import io.reedmast.state.Item
import io.reedmast.state.Keys
import io.reedmast.state.Unreadable
import io.reedmast.wire.ListedHost
import io.reedmast.wire.MachineType
import io.reedmast.wire.MalformedException
import io.reedmast.wire.Reply
import io.reedmast.wire.Report
import io.reedmast.workers.HostRecord
import org.slf4j.LoggerFactory

/** The slice that a machine is meant for, and the highest token that its worker has seen. */
private data class Destination(val slice: SliceIndex, val seen: Long)

/** The leader's duties: renting for what slices ask, giving machines to slices, resizing slices, finding strays. */
class Leader(
    private val settings: Settings,
    private val tuning: Tuning,
    private val clock: Clock,
    private val out: Gateway,
    private val cluster: Cluster,
    private val machineTypes: () -> Map<String, MachineType>,
    /** Part of every request name: never the same twice, over all nodes and restarts. */
    private val requestPrefix: String,
) {
    private val log = LoggerFactory.getLogger("fleet")
    private val unreadable = Unreadable()
    private var wasLeading = false
    private var requests = 0L
    private var totalsAsked = false
    private var totalsDue = 0L
    private var listAsked = false
    private var listDue = 0L
    private var resizeDue = 0L
    private val soldOutUntil = HashMap<Offer, Long>()

    /** Stamps of the last change made here to slices' machines: older totals do not know of it yet. */
    private val outdated = HashMap<SliceIndex, Long>()

    /** Requests to the cloud on their way, by the slices they are for. */
    private val renting = HashMap<SliceIndex, Int>()

    /** Slices that machines are on their way to, and until when that keeps the leader from renting for them. */
    private val moving = HashMap<SliceIndex, Long>()

    /** Slices that a machine is being emptied for, and until when that is waited for. */
    private val relieving = HashMap<SliceIndex, Long>()

    /** Rented but not yet given to a slice. */
    private val unassigned = LinkedHashMap<HostRecord, Destination>()
    private val strangers = HashMap<String, Long>()
    private val returning = HashSet<String>()
    private val assigning = HashSet<SliceIndex>()

    fun tick() {
        if (!cluster.leading || !cluster.fresh()) {
            wasLeading = false
            return
        }
        val now = clock.now()
        if (!wasLeading) {
            wasLeading = true
            strangers.clear()
            listDue = now + LIST_MIN_MS
            resizeDue = now + (tuning.resizeS * 1000).toLong()
            log.info("leading")
        }
        if (now >= listDue && !listAsked) {
            listAsked = true
            listDue = now + maxOf(LIST_MIN_MS, (settings.cloudLimits.listLagS * 1000).toLong())
            out.listHosts {
                listAsked = false
                if (it != null && cluster.leading) seeList(it)
            }
        }
        assignLeftovers()
        if (!totalsAsked && now >= totalsDue && machineTypes().isNotEmpty()) {
            totalsAsked = true
            totalsDue = now + READ_TOTALS_MS
            out.list(Keys.TOTALS) { items ->
                totalsAsked = false
                if (items != null && cluster.leading && cluster.fresh()) serve(items.mapNotNull { parse(it) })
            }
        }
    }

    private fun parse(item: Item): SliceTotals? = try {
        SliceTotals.parse(SliceIndex(item.path.removePrefix(Keys.TOTALS).toInt()), item.value)
    } catch (e: MalformedException) {
        unreadable.note(item.path, e.message)
        null
    } catch (e: NumberFormatException) {
        unreadable.note(item.path, "it belongs to no slice")
        null
    }

    /** Slices further below their share come first, for idle machines of other slices and for rented ones. */
    private fun serve(totals: List<SliceTotals>) {
        val now = clock.now()
        moving.values.removeIf { it < now }
        val current = totals.filter { it.hostsVersion >= (outdated[it.slice] ?: 0L) && it.slice !in renting && it.slice !in moving && !awaits(it.slice) }
        val wanting = current.filter { it.demand.isNotEmpty() }.sortedBy { it.ratio }
        if (now >= resizeDue) {
            resizeDue = now + (tuning.resizeS * 1000).toLong()
            resize(wanting, totals)
        }
        val dark = totals.flatMapTo(HashSet()) { it.darkZones }
        relieve(totals, now)
        rent(wanting.filter { it.slice !in moving }, dark, now)
    }

    /**
     * Has a machine of another slice emptied for a job that starves, once what could be rented for it has not come in time.
     *
     * Slices lend each other only whole machines, and with some work on every one of them a job could wait for ever beside
     * room that would hold it.
     */
    private fun relieve(totals: List<SliceTotals>, now: Long) {
        relieving.values.removeIf { it < now }
        for (needy in totals.filter { it.slice !in relieving }) {
            for (starving in needy.starving) {
                val demand = starving.demand
                if (starving.waitedS < RENTED_BY_NOW_S) continue
                val (giver, host) = totals.filter { it.slice != needy.slice }.firstNotNullOfOrNull { giver ->
                    (giver.idle + giver.lendable).firstOrNull { suits(giver.slice, it, demand) }?.let { giver to it }
                } ?: continue
                log.info("slice {} empties {} for slice {}, where a job starves", giver.slice.value, host, needy.slice.value)
                cluster.markLeaving(giver.slice, listOf(host), needy.slice)
                relieving[needy.slice] = now + RELIEVED_MS
                break
            }
        }
    }

    private fun suits(slice: SliceIndex, name: String, demand: Demand): Boolean {
        val host = cluster.hostsOf(slice).firstOrNull { it.name == name } ?: return false
        val machineType = machineTypes()[host.typeName] ?: return false
        return !cluster.isLeaving(slice, name) && demand.runsOn(host.typeName, host.zone, host.spot) && demand.heldBy(machineType) > 0
    }

    private fun awaits(slice: SliceIndex) = unassigned.values.any { it.slice == slice }

    /** Idle and booting machines of slices that want nothing go to slices that do, until their demand is met. */
    private fun resize(wanting: List<SliceTotals>, totals: List<SliceTotals>) {
        val givers = totals.filter { it.demand.isEmpty() && it.idle.isNotEmpty() }
        for (needy in wanting) {
            val left = needy.demand.associateWithTo(LinkedHashMap()) { it.count }
            for (giver in givers) {
                val idle = giver.idle.toHashSet()
                val given = ArrayList<String>()
                for (host in cluster.hostsOf(giver.slice)) {
                    if (host.name !in idle || cluster.isLeaving(giver.slice, host.name)) continue
                    val machineType = machineTypes()[host.typeName] ?: continue
                    val demand =
                        left.entries.firstOrNull { it.value > 0 && it.key.runsOn(host.typeName, host.zone, host.spot) && it.key.heldBy(machineType) > 0 }
                            ?: continue
                    demand.setValue(demand.value - demand.key.heldBy(machineType))
                    given.add(host.name)
                }
                if (given.isEmpty()) continue
                log.info("slice {} gives {} machines to slice {}", giver.slice.value, given.size, needy.slice.value)
                cluster.markLeaving(giver.slice, given, needy.slice)
                // Their room is not known to the needy slice before they have moved.
                moving[needy.slice] = clock.now() + MOVE_MS
            }
        }
    }

    /** What one slice gets of a request to the cloud. */
    private class Part(val slice: SliceIndex, val count: Int)

    /**
     * Rents for all slices and all that they want together: the cloud takes few calls, and up to [MOST_AT_ONCE] machines
     * with each.
     */
    private fun rent(wanting: List<SliceTotals>, dark: Set<String>, now: Long) {
        val parts = LinkedHashMap<Offer, ArrayList<Part>>()
        val held = HashMap<String, Int>()
        for (slice in cluster.records.indices) cluster.hostsOf(SliceIndex(slice)).forEach { held.merge(it.zone, 1, Int::plus) }
        for (needy in wanting) {
            for (demand in needy.demand) {
                var left = demand
                // Spread over zones: a zone that is cut off takes only its part with it.
                while (left.count > 0) {
                    val (offer, count) = shop(left, machineTypes().values, { (soldOutUntil[it] ?: 0L) > now || it.zone in dark }, { held[it] ?: 0 }) ?: break
                    val zones = machineTypes().getValue(offer.typeName).zones.size
                    val some = if (demand.zone != null || zones < 2) minOf(count, MOST_AT_ONCE) else minOf(count, maxOf(MIN_IN_A_ZONE, count / zones))
                    held.merge(offer.zone, some, Int::plus)
                    parts.getOrPut(offer) { ArrayList() }.add(Part(needy.slice, some))
                    left = left.copy(count = left.count - some * left.heldBy(machineTypes().getValue(offer.typeName)))
                }
            }
        }
        for ((offer, shares) in parts.entries.take(MOST_OFFERS)) {
            var room = MOST_AT_ONCE
            val mine = ArrayList<Part>()
            for (share in shares) {
                val some = minOf(share.count, room)
                if (some <= 0) break
                room -= some
                mine.add(Part(share.slice, some))
            }
            mine.mapTo(HashSet()) { it.slice }.forEach { renting.merge(it, 1, Int::plus) }
            val rental = Rental("$requestPrefix-${++requests}", offer.typeName, offer.zone, offer.spot, MOST_AT_ONCE - room)
            send(mine, offer, rental, RENT_TRIES)
        }
    }

    private fun send(shares: List<Part>, offer: Offer, rental: Rental, tries: Int) {
        out.rent(rental) { rented ->
            val now = clock.now()
            if (rented is Rented.Failed && tries > 1 && cluster.leading) {
                // The same name again: if the first copy was carried out after all, nothing more is rented.
                send(shares, offer, rental, tries - 1)
                return@rent
            }
            shares.mapTo(HashSet()) { it.slice }.forEach { renting.computeIfPresent(it) { _, n -> if (n > 1) n - 1 else null } }
            if (rented is Rented.NoCapacity) soldOutUntil[offer] = now + SOLD_OUT_MS
            if (rented is Rented.Hosts) {
                log.info("rented {} of {} {} in {}{}", rented.names.size, rental.count, rental.typeName, rental.zone, if (rental.spot) ", spot" else "")
                if (rented.names.size < rental.count) soldOutUntil[offer] = now + SOLD_OUT_MS
                val names = ArrayDeque(rented.names)
                for (share in shares) {
                    repeat(share.count) {
                        names.removeFirstOrNull()?.let {
                            unassigned[HostRecord(it, rental.typeName, rental.zone, rental.spot)] = Destination(share.slice, 0L)
                        }
                    }
                }
                assignLeftovers()
            }
        }
    }

    private fun assignLeftovers() {
        if (unassigned.isEmpty()) return
        unassigned.keys.removeIf { cluster.sliceOfHost(it.name) != null }
        for ((slice, hosts) in unassigned.entries.groupBy { it.value.slice }) {
            val records = hosts.map { it.key }
            if (!assigning.add(slice)) continue
            cluster.addHosts(slice, records, hosts.maxOf { it.value.seen }) { added ->
                assigning.remove(slice)
                if (added.isNotEmpty()) {
                    outdated[slice] = cluster.machinesVersion(slice)
                    unassigned.keys.removeIf { it.name in added }
                }
            }
        }
    }

    /**
     * A worker nobody has given to a slice reports: once it has answered a call, it is used.
     *
     * The report alone proves nothing: it may be a late copy from a machine that was returned, and such a machine must not
     * come back into a slice; and a machine that hears nothing is of no use.
     */
    fun stranger(report: Report) {
        if (!cluster.leading || !cluster.fresh() || report.host in returning || cluster.departedLately(report.host)) return
        // At a first start the slices appear one by one; waiting for all of them spreads the machines evenly.
        if (cluster.records.any { it == null }) return
        if (unassigned.keys.any { it.name == report.host } || calling.size >= MOST_CALLED || !calling.add(report.host)) return
        // Neither token nor session are the worker's: nothing is executed, and the refusal is its newest report.
        out.direct(report.addr, 0L, 0L, emptyList()) { reply ->
            calling.remove(report.host)
            val answer = (reply as? Reply.Answer)?.takeIf { it.status == 200 || it.status == 409 } ?: return@direct
            try {
                val now = Report.parse(answer.body)
                if (now.host == report.host && cluster.leading) accept(now)
            } catch (e: MalformedException) {
                log.error("the answer of {} cannot be read: {}", report.host, e.message)
            }
        }
    }

    private val calling = HashSet<String>()

    private fun accept(report: Report) {
        if (cluster.sliceOfHost(report.host) != null || report.host in returning || cluster.departedLately(report.host)) return
        val host = HostRecord(report.host, report.typeName, report.zone, report.spot)
        val slice = emptiest()
        log.info("{}: a worker of no slice reports; it goes to slice {}", report.host, slice.value)
        unassigned[host] = Destination(slice, report.token)
        assignLeftovers()
    }

    /** The slice with the fewest CPUs, so that machines found at the start are spread evenly. */
    private fun emptiest(): SliceIndex {
        val cpus = DoubleArray(cluster.records.size)
        for (slice in cpus.indices) cpus[slice] = cluster.hostsOf(SliceIndex(slice)).sumOf { machineTypes()[it.typeName]?.cpus ?: 1.0 }
        for ((host, to) in unassigned) cpus[to.slice.value] += machineTypes()[host.typeName]?.cpus ?: 1.0
        return SliceIndex(cpus.indices.minByOrNull { cpus[it] } ?: 0)
    }

    /** Machines that nobody expected use themselves by reporting; those that only cost are returned. */
    private fun seeList(hosts: List<ListedHost>) {
        val now = clock.now()
        val listed = hosts.mapTo(HashSet()) { it.name }
        strangers.keys.retainAll(listed)
        val expected = unassigned.keys.mapTo(HashSet()) { it.name }
        val lost = ArrayList<String>()
        for (host in hosts) {
            if (cluster.sliceOfHost(host.name) != null || cluster.departedLately(host.name) || host.name in expected) {
                strangers.remove(host.name)
                continue
            }
            val since = strangers.getOrPut(host.name) { now }
            val patience = ((machineTypes()[host.typeName]?.bootS ?: 60.0) * 2 + settings.cloudLimits.listLagS * 2) * 1000
            if ((host.stage == "failed" || now - since > patience) && host.name !in returning) lost.add(host.name)
        }
        if (lost.isEmpty()) return
        val names = lost.take(MOST_RETURNED)
        log.info("returned, since they belong to no slice and do not report: {}", names)
        returning.addAll(names)
        out.giveBack(names) { ok ->
            returning.removeAll(names.toSet())
            if (ok) names.forEach { strangers.remove(it) }
        }
    }

    private companion object {
        const val MOVE_MS = 2_000L
        const val RELIEVED_MS = 25_000L

        /** A machine that was rented when the job began to starve is mostly up by then. */
        const val RENTED_BY_NOW_S = 55.0
        const val READ_TOTALS_MS = 1_000L
        const val LIST_MIN_MS = 5_000L
        const val SOLD_OUT_MS = 20_000L
        const val RENT_TRIES = 3
        const val MOST_AT_ONCE = 50
        const val MIN_IN_A_ZONE = 4
        const val MOST_OFFERS = 8
        const val MOST_CALLED = 64
        const val MOST_RETURNED = 100
    }
}

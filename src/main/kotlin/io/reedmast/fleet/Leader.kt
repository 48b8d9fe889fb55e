package io.reedmast.fleet

import io.reedmast.app.Clock
import io.reedmast.app.Outward
import io.reedmast.app.Rented
import io.reedmast.ownership.Cluster
import io.reedmast.settings.Settings
import io.reedmast.settings.SliceIndex
import io.reedmast.settings.Tuning
import io.reedmast.state.Item
import io.reedmast.state.Keys
import io.reedmast.wire.Flavor
import io.reedmast.wire.ListedHost
import io.reedmast.wire.MalformedException
import io.reedmast.wire.Report
import io.reedmast.wire.amount
import io.reedmast.wire.count
import io.reedmast.wire.list
import io.reedmast.wire.maps
import io.reedmast.workers.HostRecord
import org.slf4j.LoggerFactory

/** What an owner last wrote of its slice. */
private class Totals(val slice: SliceIndex, val term: Long, val ratio: Double, val demand: List<Demand>, val idle: List<String>)

/** The slice that a machine is meant for, and the highest token that its worker has seen. */
private data class Destination(val slice: SliceIndex, val seen: Long)

/** The leader's duties: renting for what slices ask, giving machines to slices, resizing slices, finding strays. */
class Leader(
    private val settings: Settings,
    private val tuning: Tuning,
    private val clock: Clock,
    private val out: Outward,
    private val cluster: Cluster,
    private val flavors: () -> Map<String, Flavor>,
    /** Part of every charter's name: never the same twice, over all nodes and restarts. */
    private val charterPrefix: String,
) {
    private val log = LoggerFactory.getLogger("fleet")
    private var wasLeading = false
    private var charters = 0L
    private var totalsAsked = false
    private var totalsDue = 0L
    private var listAsked = false
    private var listDue = 0L
    private var resizeDue = 0L
    private val soldOutUntil = HashMap<Offer, Long>()

    /** Terms of slices at the last change made here: older totals do not know of it yet. */
    private val outdated = HashMap<SliceIndex, Long>()
    private val renting = HashSet<SliceIndex>()

    /** Slices that machines are on their way to, and until when that keeps the leader from renting for them. */
    private val moving = HashMap<SliceIndex, Long>()

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
        if (!totalsAsked && now >= totalsDue && flavors().isNotEmpty()) {
            totalsAsked = true
            totalsDue = now + READ_TOTALS_MS
            out.list(Keys.TOTALS) { items ->
                totalsAsked = false
                if (items != null && cluster.leading && cluster.fresh()) serve(items.mapNotNull { parse(it) })
            }
        }
    }

    private fun parse(item: Item): Totals? = try {
        val value = item.value
        Totals(
            SliceIndex(item.path.removePrefix(Keys.TOTALS).toInt()),
            value.count("term"),
            value.amount("ratio"),
            value.maps("demand").map { Demand.parse(it) },
            value.list("idle").filterIsInstance<String>(),
        )
    } catch (e: MalformedException) {
        log.error("{} cannot be read: {}", item.path, e.message)
        null
    } catch (e: NumberFormatException) {
        log.error("{} belongs to no slice", item.path)
        null
    }

    /** Slices further below their share come first, for idle machines of other slices and for rented ones. */
    private fun serve(totals: List<Totals>) {
        val now = clock.now()
        moving.entries.removeIf { it.value < now && renting.remove(it.key) }
        val current = totals.filter { it.term >= (outdated[it.slice] ?: 0L) && it.slice !in renting }
        val wanting = current.filter { it.demand.isNotEmpty() }.sortedBy { it.ratio }
        if (now >= resizeDue) {
            resizeDue = now + (tuning.resizeS * 1000).toLong()
            resize(wanting, totals)
        }
        for (needy in wanting) rentFor(needy, now)
    }

    /** Idle and booting machines of slices that want nothing go to slices that do, until their demand is met. */
    private fun resize(wanting: List<Totals>, totals: List<Totals>) {
        val givers = totals.filter { it.demand.isEmpty() && it.idle.isNotEmpty() }
        for (needy in wanting) {
            val left = needy.demand.associateWithTo(LinkedHashMap()) { it.count }
            for (giver in givers) {
                val record = cluster.records[giver.slice.value]?.record ?: continue
                val given = ArrayList<String>()
                for (host in record.hosts) {
                    if (host.name !in giver.idle || host.name in record.leaving) continue
                    val demand = left.entries.firstOrNull { it.value > 0 && suits(it.key, host) } ?: continue
                    val flavor = flavors()[host.build] ?: continue
                    demand.setValue(demand.value - flavor.holds(demand.key.cpus, demand.key.gpus, demand.key.memGb))
                    given.add(host.name)
                }
                if (given.isEmpty()) continue
                log.info("slice {} gives {} to slice {}", giver.slice.value, given, needy.slice.value)
                cluster.markLeaving(giver.slice, given, needy.slice)
                // Their room is not known to the needy slice before they have moved.
                renting.add(needy.slice)
                moving[needy.slice] = clock.now() + MOVE_MS
            }
        }
    }

    private fun suits(demand: Demand, host: HostRecord): Boolean {
        val flavor = flavors()[host.build] ?: return false
        return (!host.driftwood || demand.driftwood) && (demand.builds == null || host.build in demand.builds) &&
            (demand.yard == null || demand.yard == host.yard) && flavor.holds(demand.cpus, demand.gpus, demand.memGb) >= 1
    }

    private fun rentFor(needy: Totals, now: Long) {
        val demand = needy.demand.first()
        val (offer, count) =
            shop(demand, flavors().values, { (soldOutUntil[it] ?: 0L) > now }, { yard ->
                cluster.records.sumOf { held -> held?.record?.hosts?.count { it.yard == yard } ?: 0 }
            }) ?: return
        renting.add(needy.slice)
        send(needy.slice, Rental("$charterPrefix-${++charters}", offer.build, offer.yard, offer.driftwood, minOf(count, MOST_AT_ONCE)), RENT_TRIES)
    }

    private fun send(slice: SliceIndex, rental: Rental, tries: Int) {
        out.rent(rental) { rented ->
            val now = clock.now()
            val offer = Offer(rental.build, rental.yard, rental.driftwood)
            when (rented) {
                is Rented.Hosts -> {
                    log.info(
                        "rented {} of {} {} in {}{} for slice {}",
                        rented.names.size,
                        rental.count,
                        rental.build,
                        rental.yard,
                        if (rental.driftwood) ", spot" else "",
                        slice.value,
                    )
                    if (rented.names.size < rental.count) soldOutUntil[offer] = now + SOLD_OUT_MS
                    rented.names.forEach { unassigned[HostRecord(it, rental.build, rental.yard, rental.driftwood)] = Destination(slice, 0L) }
                    renting.remove(slice)
                    assignLeftovers()
                }

                is Rented.NoCapacity -> {
                    soldOutUntil[offer] = now + SOLD_OUT_MS
                    renting.remove(slice)
                }

                is Rented.Failed -> {
                    // The same name again: if the first copy was carried out after all, nothing more is rented.
                    if (tries > 1 && cluster.leading) send(slice, rental, tries - 1) else renting.remove(slice)
                }
            }
        }
    }

    private fun assignLeftovers() {
        unassigned.keys.removeIf { cluster.sliceOfHost(it.name) != null }
        for ((slice, hosts) in unassigned.entries.groupBy { it.value.slice }) {
            val names = hosts.map { it.key }
            if (!assigning.add(slice)) continue
            cluster.addHosts(slice, names, hosts.maxOf { it.value.seen }) { ok ->
                assigning.remove(slice)
                if (ok) {
                    outdated[slice] = cluster.records[slice.value]?.stamp ?: 0L
                    unassigned.keys.removeAll(names.toSet())
                }
            }
        }
    }

    /** A worker nobody has given to a slice reports: it is used. */
    fun stranger(report: Report) {
        if (!cluster.leading || !cluster.fresh() || report.host in returning) return
        // At a first start the slices appear one by one; waiting for all of them spreads the machines evenly.
        if (cluster.records.any { it == null }) return
        val host = HostRecord(report.host, report.build, report.yard, report.driftwood)
        val meant = unassigned[host]?.slice
        val slice = meant ?: emptiest()
        if (meant == null) log.info("{}: a worker of no slice reports; it goes to slice {}", report.host, slice.value)
        unassigned[host] = Destination(slice, report.baton)
        assignLeftovers()
    }

    /** The slice with the fewest CPUs, so that machines found at the start are spread evenly. */
    private fun emptiest(): SliceIndex = cluster.records.indices
        .filter { cluster.records[it] != null }
        .minByOrNull { index ->
            val coming = unassigned.filterValues { it.slice.value == index }.keys
            (cluster.records[index]?.record?.hosts.orEmpty() + coming).sumOf { flavors()[it.build]?.cpus ?: 1.0 }
        }
        .let { SliceIndex(it ?: 0) }

    /** Machines that nobody expected use themselves by reporting; those that only cost are returned. */
    private fun seeList(hosts: List<ListedHost>) {
        val now = clock.now()
        val listed = hosts.mapTo(HashSet()) { it.name }
        strangers.keys.retainAll(listed)
        val lost = ArrayList<String>()
        for (host in hosts) {
            if (cluster.sliceOfHost(host.name) != null || cluster.departedLately(host.name) || unassigned.keys.any { it.name == host.name }) {
                strangers.remove(host.name)
                continue
            }
            val since = strangers.getOrPut(host.name) { now }
            val patience = ((flavors()[host.build]?.startupS ?: 60.0) * 2 + settings.cloudLimits.listLagS * 2) * 1000
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
        const val READ_TOTALS_MS = 1_000L
        const val LIST_MIN_MS = 5_000L
        const val SOLD_OUT_MS = 20_000L
        const val RENT_TRIES = 3
        const val MOST_AT_ONCE = 20
        const val MOST_RETURNED = 100
    }
}

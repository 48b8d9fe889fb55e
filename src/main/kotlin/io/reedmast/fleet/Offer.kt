package io.reedmast.fleet

import io.reedmast.wire.Flavor
import kotlin.math.ceil

/** A kind of machine that the cloud rents: type, zone, and spot or ordinary. */
data class Offer(val build: String, val yard: String, val driftwood: Boolean)

/**
 * What to rent for [demand], cheapest first: the kind of machine that covers the whole need at the least cost per hour.
 *
 * A pure function: [soldOut] says which offers were refused lately, [held] how many machines of ours a zone has.
 */
fun shop(demand: Demand, flavors: Collection<Flavor>, soldOut: (Offer) -> Boolean, held: (String) -> Int): Pair<Offer, Int>? {
    val cheapestSpot =
        flavors.filter { demand.builds == null || it.label in demand.builds }.minOfOrNull { perTask(it, demand, it.lowPrice) } ?: Double.MAX_VALUE
    var best: Pair<Offer, Int>? = null
    var bestCost = Double.MAX_VALUE
    for (flavor in flavors) {
        if (demand.builds != null && flavor.label !in demand.builds) continue
        val holds = flavor.holds(demand.cpus, demand.gpus, demand.memGb)
        if (holds < 1) continue
        val count = ceil(demand.count.toDouble() / holds).toInt()
        val yards = flavor.yards.filter { demand.yard == null || it == demand.yard }.sortedBy { held(it) }
        for (spot in listOf(true, false)) {
            val price = if (spot) flavor.lowPrice?.times(SPOT_RISK) else flavor.hourly
            if (price == null || (spot && !demand.driftwood)) continue
            if (!spot && demand.driftwood && perTask(flavor, demand, price) > cheapestSpot * MOST_PREMIUM) continue
            val yard = yards.firstOrNull { !soldOut(Offer(flavor.label, it, spot)) } ?: continue
            // A machine that is only partly filled still costs as a whole.
            val cost = price * count
            if (cost < bestCost) {
                bestCost = cost
                best = Offer(flavor.label, yard, spot) to count
            }
        }
    }
    return best
}

/** An hour's price of the room for one task. */
private fun perTask(flavor: Flavor, demand: Demand, price: Double?): Double {
    val holds = flavor.holds(demand.cpus, demand.gpus, demand.memGb)
    return if (price == null || holds < 1) Double.MAX_VALUE else price / holds
}

/**
 * Work that may use spot machines gets an ordinary one only up to this many times the cheapest spot price: dearer ones
 * cost more than the deadlines they save are worth.
 */
private const val MOST_PREMIUM = 5.0

/** A spot machine is worth a little less than its price says: its work may be lost. */
private const val SPOT_RISK = 1.2

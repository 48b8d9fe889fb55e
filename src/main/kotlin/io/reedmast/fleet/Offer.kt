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
    var best: Pair<Offer, Int>? = null
    var bestCost = Double.MAX_VALUE
    for (flavor in flavors) {
        if (demand.builds != null && flavor.label !in demand.builds) continue
        val holds = demand.heldBy(flavor)
        if (holds < 1) continue
        val count = ceil(demand.count.toDouble() / holds).toInt()
        val yards = flavor.yards.filter { demand.yard == null || it == demand.yard }.sortedBy { held(it) }
        for (spot in listOf(true, false)) {
            val price = if (spot) flavor.lowPrice?.times(SPOT_RISK) else flavor.hourly
            if (price == null || (spot && !demand.driftwood)) continue
            if (!spot && demand.driftwood && !demand.late && isDear(flavor, flavors, demand.cpus, demand.gpus, demand.memGb)) continue
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

/** Whether an ordinary machine of this type is too dear for tasks of this shape that may use spot machines. */
fun isDear(flavor: Flavor, flavors: Collection<Flavor>, cpus: Double, gpus: Double, memGb: Double): Boolean {
    fun perTask(of: Flavor, price: Double?): Double {
        val holds = of.holds(cpus, gpus, memGb)
        return if (price == null || holds < 1) Double.MAX_VALUE else price / holds
    }
    val cheapest = flavors.minOfOrNull { perTask(it, it.lowPrice) } ?: return false
    return perTask(flavor, flavor.hourly) > cheapest * MOST_PREMIUM
}

/**
 * Work that may use spot machines gets an ordinary one only up to this many times the cheapest spot price: dearer ones
 * cost more than the deadlines they save are worth.
 */
private const val MOST_PREMIUM = 5.0

/** A spot machine is worth a little less than its price says: its work may be lost. */
private const val SPOT_RISK = 1.2

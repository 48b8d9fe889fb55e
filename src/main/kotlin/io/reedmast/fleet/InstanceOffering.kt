package io.reedmast.fleet

import io.reedmast.wire.MachineType
import kotlin.math.ceil

/** A kind of machine that the cloud rents: type, zone, and spot or ordinary. */
data class InstanceOffering(val typeName: String, val zone: String, val spot: Boolean)

/**
 * What to rent for [demand], cheapest first: the kind of machine that covers the whole need at the least cost per hour.
 *
 * A pure function: [isUnavailable] says which offers were refused lately, [held] how many machines of ours a zone has.
 */
fun selectOffering(
    demand: Demand,
    machineTypes: Collection<MachineType>,
    isUnavailable: (InstanceOffering) -> Boolean,
    held: (String) -> Int,
): Pair<InstanceOffering, Int>? {
    var best: Pair<InstanceOffering, Int>? = null
    var bestCost = Double.MAX_VALUE
    for (machineType in machineTypes) {
        if (demand.allowedTypes != null && machineType.label !in demand.allowedTypes) continue
        val holds = demand.heldBy(machineType)
        if (holds < 1) continue
        val count = ceil(demand.count.toDouble() / holds).toInt()
        val zones = machineType.zones.filter { demand.zone == null || it == demand.zone }.sortedBy { held(it) }
        for (spot in listOf(true, false)) {
            val price = if (spot) machineType.spotPrice?.times(SPOT_RISK) else machineType.hourlyPrice
            if (price == null || (spot && !demand.spot)) continue
            if (!spot && demand.spot && !demand.late && isTooExpensive(machineType, machineTypes, demand.cpus, demand.gpus, demand.memoryGb)) continue
            val zone = zones.firstOrNull { !isUnavailable(InstanceOffering(machineType.label, it, spot)) } ?: continue
            // A machine that is only partly filled still costs as a whole.
            val cost = price * count
            if (cost < bestCost) {
                bestCost = cost
                best = InstanceOffering(machineType.label, zone, spot) to count
            }
        }
    }
    return best
}

/** Whether an ordinary machine of this type is too dear for tasks of this shape that may use spot machines. */
fun isTooExpensive(machineType: MachineType, machineTypes: Collection<MachineType>, cpus: Double, gpus: Double, memoryGb: Double): Boolean {
    fun perTask(of: MachineType, price: Double?): Double {
        val holds = of.holds(cpus, gpus, memoryGb)
        return if (price == null || holds < 1) Double.MAX_VALUE else price / holds
    }
    val cheapest = machineTypes.minOfOrNull { perTask(it, it.spotPrice) } ?: return false
    return perTask(machineType, machineType.hourlyPrice) > cheapest * MAX_PREMIUM
}

/**
 * Work that may use spot machines gets an ordinary one only up to this many times the cheapest spot price: dearer ones
 * cost more than the deadlines they save are worth.
 */
private const val MAX_PREMIUM = 5.0

/** A spot machine is worth a little less than its price says: its work may be lost. */
private const val SPOT_RISK = 1.2

package io.reedmast.autoscaling

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
        val holds = demand.tasksPerMachine(machineType)
        if (holds < 1) continue
        val count = ceil(demand.taskCount.toDouble() / holds).toInt()
        val zones = machineType.zones.filter { demand.zone == null || it == demand.zone }.sortedBy { held(it) }
        for (spot in listOf(true, false)) {
            val price = if (spot) machineType.spotPrice?.times(SPOT_RISK) else machineType.hourlyPrice
            if (price == null || (spot && !demand.spot)) continue
            if (!spot && demand.spot && !demand.pastDeadline &&
                isTooExpensive(machineType, machineTypes, demand.cpus, demand.gpus, demand.memoryGb)
            ) {
                continue
            }
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

/** A spot machine is worth a little less than its price says: its work may be lost. */
private const val SPOT_RISK = 1.2

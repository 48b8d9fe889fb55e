package io.reedmast.autoscaling

import io.reedmast.wire.MachineType

/**
 * Whether an on-demand machine of type [machineType] is too expensive for tasks that may use spot machines, compared
 * with the cheapest spot machine of [machineTypes]. A task takes [cpus], [gpus] and [memoryGb].
 */
fun isTooExpensive(
    machineType: MachineType,
    machineTypes: Collection<MachineType>,
    cpus: Double,
    gpus: Double,
    memoryGb: Double,
): Boolean {
    /** Hourly price per task on a full machine; [Double.MAX_VALUE] if no task fits or there is no such price. */
    fun pricePerTask(type: MachineType, hourlyPrice: Double?): Double {
        val tasksPerMachine = type.capacityFor(cpus, gpus, memoryGb)
        return if (hourlyPrice == null || tasksPerMachine < 1) Double.MAX_VALUE else hourlyPrice / tasksPerMachine
    }
    val cheapestSpot = machineTypes.minOfOrNull { pricePerTask(it, it.spotPrice) } ?: return false
    return pricePerTask(machineType, machineType.hourlyPrice) > cheapestSpot * MAX_RATIO_TO_SPOT_PRICE
}

/**
 * Tasks that may use spot machines get an on-demand one only up to this many times the cheapest spot price per task:
 * more expensive machines cost more than the deadlines that they save are worth.
 */
private const val MAX_RATIO_TO_SPOT_PRICE = 5.0

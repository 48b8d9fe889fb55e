package io.reedmast.autoscaling

import io.reedmast.wire.MachineType

/** Whether an ordinary machine of this type is too dear for tasks of this shape that may use spot machines. */
fun isTooExpensive(
    machineType: MachineType,
    machineTypes: Collection<MachineType>,
    cpus: Double,
    gpus: Double,
    memoryGb: Double,
): Boolean {
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

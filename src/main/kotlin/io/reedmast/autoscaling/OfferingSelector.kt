package io.reedmast.autoscaling

import io.reedmast.wire.MachineType
import kotlin.math.ceil

/** An offering that covers a demand with [machineCount] machines, at [hourlyCost] for all of them together. */
internal data class OfferingCandidate(val offering: InstanceOffering, val machineCount: Int, val hourlyCost: Double)

/**
 * Selects the offering to rent for a demand, by the prices of [machineTypes]. Leaves out offerings that are
 * [isUnavailable]: those that the cloud has recently refused, and those in zones that are cut off.
 */
internal class OfferingSelector(
    private val machineTypes: Collection<MachineType>,
    private val isUnavailable: (InstanceOffering) -> Boolean,
) {
    /**
     * The offering that covers the whole [demand] at the least cost per hour; null if none does. Of the available zones
     * it is in the one in which the cluster has the fewest machines, by [machineCountByZone].
     */
    fun select(demand: Demand, machineCountByZone: Map<String, Int>): OfferingCandidate? =
        machineTypes.flatMap { candidates(it, demand, machineCountByZone) }.minByOrNull { it.hourlyCost }

    /** The candidates of one machine type: its spot machines first, then its on-demand ones. */
    private fun candidates(
        machineType: MachineType,
        demand: Demand,
        machineCountByZone: Map<String, Int>,
    ): List<OfferingCandidate> {
        val tasksPerMachine = demand.tasksPerMachine(machineType)
        if (!demand.allowsType(machineType.label) || tasksPerMachine < 1) return emptyList()
        val machineCount = ceil(demand.taskCount.toDouble() / tasksPerMachine).toInt()
        val zones = machineType.zones.filter { demand.allowsZone(it) }.sortedBy { machineCountByZone[it] ?: 0 }
        fun candidate(spot: Boolean, hourlyPrice: Double?): OfferingCandidate? {
            if (hourlyPrice == null) return null
            val offerings = zones.map { InstanceOffering(machineType.label, it, spot) }
            val offering = offerings.firstOrNull { !isUnavailable(it) } ?: return null
            // A machine that is only partly filled still costs its full price.
            return OfferingCandidate(offering, machineCount, hourlyPrice * machineCount)
        }
        return listOfNotNull(
            candidate(spot = true, riskAdjustedSpotPrice(machineType, demand)),
            candidate(spot = false, onDemandPrice(machineType, demand)),
        )
    }

    /** The hourly spot price plus a risk surcharge; null if there is none, or the demand does not allow spot. */
    private fun riskAdjustedSpotPrice(machineType: MachineType, demand: Demand): Double? =
        if (demand.spot) machineType.spotPrice?.times(SPOT_RISK_FACTOR) else null

    /** The hourly price of an on-demand machine; null if that is too expensive for the demand. */
    private fun onDemandPrice(machineType: MachineType, demand: Demand): Double? {
        val mayWaitForSpot = demand.spot && !demand.pastDeadline
        val isExcluded = mayWaitForSpot &&
            isTooExpensive(machineType, machineTypes, demand.meanCpus, demand.meanGpus, demand.meanMemoryGb)
        return if (isExcluded) null else machineType.hourlyPrice
    }

    private companion object {
        /** Makes spot machines slightly more expensive in comparisons, since the work on them may be lost. */
        const val SPOT_RISK_FACTOR = 1.2
    }
}

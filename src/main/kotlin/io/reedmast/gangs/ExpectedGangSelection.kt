package io.reedmast.gangs

import io.reedmast.model.Machine
import io.reedmast.placement.gangPlacementGroups
import io.reedmast.placement.isEligible
import io.reedmast.placement.tasksThatFit
import io.reedmast.wire.JobSpec

/**
 * Selects machines to reserve for the gangs that are expected to arrive next, based on [recentGangs].
 *
 * Prefers machines that are already reserved for expected gangs, then machines that have the gangs' images.
 */
internal class ExpectedGangSelection(
    private val recentGangs: List<JobSpec>,
    private val alreadyReserved: Set<Machine>,
) {
    private val images = recentGangs.mapTo(HashSet()) { it.image }

    /**
     * Selects at most [maxMachines] of [machines], all in one zone if any recent gang required that. They are
     * meant for one gang more than [expectedGangs] rounded down, but three gangs at most, each as large as the largest
     * recent one. Empty if no gang has arrived recently.
     */
    fun select(machines: List<Machine>, expectedGangs: Double, maxMachines: Int): Set<Machine> {
        val largestGang = recentGangs.maxByOrNull { it.cpus * it.taskCount } ?: return emptySet()
        val taskCount = largestGang.taskCount * minOf(MAX_GANGS_RESERVED_FOR, 1 + expectedGangs.toInt())
        val eligible = machines.filter { isEligible(largestGang, it.record) && !it.record.spot }
        val order = preferenceFor(largestGang)
        return gangPlacementGroups(eligible, recentGangs.any { it.oneZone })
            .map { group -> firstMachinesThatHold(largestGang, taskCount, group.sortedWith(order), maxMachines) }
            .maxByOrNull { selectionValue(it, largestGang) }
            .orEmpty()
    }

    private fun preferenceFor(gang: JobSpec): Comparator<Machine> = compareBy(
        { it !in alreadyReserved },
        { -cachedImageCount(it) },
        { -tasksThatFit(gang, it) },
    )

    private fun selectionValue(selected: Set<Machine>, gang: JobSpec): Int =
        selected.count { it in alreadyReserved } * ALREADY_RESERVED_VALUE +
            selected.sumOf { cachedImageCount(it) } +
            selected.sumOf { tasksOnceArraysEnd(gang, it) }

    /** The number of the recent gangs' images that the machine has. */
    private fun cachedImageCount(machine: Machine): Int = images.count { it in machine.images }

    private companion object {
        const val MAX_GANGS_RESERVED_FOR = 3

        /**
         * The value of a machine that is already reserved, expressed in tasks that another machine would hold:
         * capacity becomes free on machines that other work has been kept off for a while.
         */
        const val ALREADY_RESERVED_VALUE = 4
    }
}

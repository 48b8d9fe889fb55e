package io.reedmast.gangs

import io.reedmast.model.Machine
import io.reedmast.placement.gangPlacementGroups
import io.reedmast.placement.isEligible
import io.reedmast.placement.tasksThatFit
import io.reedmast.wire.JobSpec

/**
 * Which machines to reserve for the gangs that arrive next, judged by [recentGangs].
 *
 * Machines that are reserved for them already stay so if possible, and those that have the gangs' images are preferred.
 */
internal class ExpectedGangSelection(
    private val recentGangs: List<JobSpec>,
    private val alreadyReserved: Set<Machine>,
) {
    private val images = recentGangs.mapTo(HashSet()) { it.image }

    /**
     * At most [maxMachines] of [machines], of one zone if any recent gang needed that, for [expectedGangs] gangs and
     * one more, three at most, of the size of the largest recent one. None if no gang has arrived recently.
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

    /** How many of the recent gangs' images the machine has. */
    private fun cachedImageCount(machine: Machine): Int = images.count { it in machine.images }

    private companion object {
        const val MAX_GANGS_RESERVED_FOR = 3

        /**
         * What a machine that is reserved already is worth, in tasks that another one holds: capacity becomes free
         * where other work has been kept off for a while.
         */
        const val ALREADY_RESERVED_VALUE = 4
    }
}

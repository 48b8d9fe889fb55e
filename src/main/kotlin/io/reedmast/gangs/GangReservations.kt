package io.reedmast.gangs

import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.wire.JobSpec

/**
 * Machines that are reserved for gangs: other work is kept off them until enough capacity for a gang becomes free.
 *
 * Other tasks end at different times, and each time too little capacity for a gang becomes free. Without reservations,
 * arrays would always use it first. So arrays are kept off a few machines, all in one zone if the gang needs that,
 * until the gang fits there. Services are not kept off, nor are jobs that have waited for long. A reservation expires
 * after [RESERVATION_MS] and cannot be renewed for the same time, so it delays no other job for longer than that. All
 * reservations together hold at most a fraction of the machines, first come, first served, so that no gang waits for
 * capacity reserved for another.
 */
class GangReservations {
    private class Reservation(val machines: Set<Machine>, val untilMs: Long)

    /** By waiting gang. Expired reservations are kept for another [RESERVATION_MS] to prevent an immediate renewal. */
    private val reservations = LinkedHashMap<Job, Reservation>()
    private val gangsByMachine = HashMap<Machine, Job>()
    private var reservedForExpectedGangs: Set<Machine> = emptySet()

    /** Whether no machine is reserved for any waiting or expected gang. */
    val isEmpty: Boolean get() = gangsByMachine.isEmpty() && reservedForExpectedGangs.isEmpty()

    /** Removes reservations that expired at least [RESERVATION_MS] ago or whose gang is no longer waiting. */
    fun removeExpired(nowMs: Long) {
        reservations.entries.removeIf { (job, reservation) ->
            val mayBeRenewed = nowMs >= reservation.untilMs + RESERVATION_MS
            mayBeRenewed || job.pendingCount == 0 || job.placedCount > 0
        }
        gangsByMachine.clear()
        for ((job, reservation) in reservations) {
            if (nowMs < reservation.untilMs) reservation.machines.forEach { gangsByMachine[it] = job }
        }
    }

    /**
     * Whether the machine is reserved for a waiting gang other than [job] or, if [job] is not a gang, for expected
     * gangs.
     */
    fun isReservedForOther(job: Job, machine: Machine): Boolean {
        if (!job.spec.isGang && machine in reservedForExpectedGangs) return true
        val gang = gangsByMachine[machine] ?: return false
        return gang !== job
    }

    /** The machines that are currently reserved for the waiting gang. */
    fun machinesReservedFor(job: Job): Set<Machine> =
        reservations[job]?.machines?.filterTo(LinkedHashSet()) { gangsByMachine[it] === job }.orEmpty()

    /**
     * Reserves machines on which the gang fits once arrays there have ended. Does nothing if the gang already has a
     * reservation, if there are no such machines, or if too many machines would be reserved for waiting gangs.
     */
    fun reserve(job: Job, machines: List<Machine>, nowMs: Long) {
        if (job in reservations) return
        val selected = selectMachinesForWaitingGang(job, withoutReserved(machines)) ?: return
        if (gangsByMachine.size + selected.size > maxMachines(machines, DIVISOR_FOR_WAITING)) return
        reservations[job] = Reservation(selected, nowMs + RESERVATION_MS)
        selected.forEach { gangsByMachine[it] = job }
    }

    /**
     * Keeps arrays off some machines, all in one zone if a recent gang needed that, so that the gangs that arrive next
     * find capacity at once: as much as the largest of [recentGangs] needs, for as many gangs as arrive while capacity
     * becomes free ([expectedGangs]).
     */
    fun reserveForExpectedGangs(recentGangs: List<JobSpec>, expectedGangs: Double, machines: List<Machine>) {
        val selection = ExpectedGangSelection(recentGangs, reservedForExpectedGangs)
        reservedForExpectedGangs = selection.select(
            withoutReserved(machines),
            expectedGangs,
            maxMachines(machines, DIVISOR_FOR_EXPECTED),
        )
    }

    private fun withoutReserved(machines: List<Machine>) = machines.filter { it !in gangsByMachine }

    private fun maxMachines(machines: List<Machine>, divisor: Int) =
        maxOf(MIN_RESERVABLE_MACHINES, machines.size / divisor)

    private companion object {
        const val RESERVATION_MS = 25_000L

        /** This many machines may always be reserved, even in a small shard. */
        const val MIN_RESERVABLE_MACHINES = 4

        /** At most a quarter of the machines is reserved for waiting gangs, and an eighth for expected gangs. */
        const val DIVISOR_FOR_WAITING = 4
        const val DIVISOR_FOR_EXPECTED = 8
    }
}

package io.reedmast.gangs

import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.wire.JobSpec

/**
 * Machines that other work leaves to gangs, so that enough capacity for one becomes free.
 *
 * Other work ends at scattered times, and whatever becomes free each time is too small for a gang: arrays use it
 * first, for ever. So arrays are kept off a few machines of one zone until the gang fits there. Services are not, nor
 * is a job that has waited for long. A reservation ends after [RESERVATION_MS] and is not renewed for as long, so that
 * it holds up no other job for more than that, and all of them together hold at most a part of the machines, first come
 * first served, so that none waits for capacity reserved for another.
 */
class GangReservations {
    private class Reservation(val machines: Set<Machine>, val untilMs: Long)

    /** By waiting gang; expired ones stay for a while, so that they are not renewed at once. */
    private val reservations = LinkedHashMap<Job, Reservation>()
    private val gangsByMachine = HashMap<Machine, Job>()
    private var reservedForExpectedGangs: Set<Machine> = emptySet()

    /** Whether no machine is reserved for any gang. */
    val isEmpty: Boolean get() = gangsByMachine.isEmpty() && reservedForExpectedGangs.isEmpty()

    /** Removes reservations that expired long ago, or whose gang does not wait any more. */
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

    /** Whether the machine is reserved for a gang other than [job]. */
    fun isReservedForOther(job: Job, machine: Machine): Boolean {
        if (!job.spec.isGang && machine in reservedForExpectedGangs) return true
        val gang = gangsByMachine[machine] ?: return false
        return gang !== job
    }

    /** The machines that are now reserved for the waiting gang. */
    fun machinesReservedFor(job: Job): Set<Machine> =
        reservations[job]?.machines?.filterTo(LinkedHashSet()) { gangsByMachine[it] === job }.orEmpty()

    /** Reserves machines for the gang, if it has no reservation and there are machines on which it may come to fit. */
    fun reserve(job: Job, machines: List<Machine>, nowMs: Long) {
        if (job in reservations) return
        val selected = selectMachinesForWaitingGang(job, withoutReserved(machines)) ?: return
        if (gangsByMachine.size + selected.size > maxMachines(machines, DIVISOR_FOR_WAITING)) return
        reservations[job] = Reservation(selected, nowMs + RESERVATION_MS)
        selected.forEach { gangsByMachine[it] = job }
    }

    /**
     * Keeps arrays off some machines of one zone, so that the gangs which arrive next find capacity at once: as much as
     * the largest one of [recentGangs] needs, for as many as arrive while capacity becomes free ([expectedGangs]).
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

        /** So many machines may be reserved in any case, also in a small shard. */
        const val MIN_RESERVABLE_MACHINES = 4

        /** A quarter of the machines for waiting gangs, an eighth for those that arrive next. */
        const val DIVISOR_FOR_WAITING = 4
        const val DIVISOR_FOR_EXPECTED = 8
    }
}

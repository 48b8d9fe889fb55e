package io.reedmast.gangs

import io.reedmast.jobs.Job
import io.reedmast.placement.allows
import io.reedmast.workers.Machine

/**
 * Machines on which waiting gangs gather room.
 *
 * Other work ends at scattered times, and each piece of room that it leaves is too small for a gang: arrays take it first, for ever.
 * So arrays are kept off a few machines of one zone until the gang fits there. Services are not, nor is a job that has waited for
 * long. A reservation ends after [HELD_MS] and is not renewed for as long, so that it holds up no other job for more than that, and
 * all of them together hold at most a part of the machines, first come first served, so that none waits for another one's room.
 */
class GangReservations {
    private class Reservation(val machines: Set<Machine>, val until: Long)

    private val reservations = LinkedHashMap<Job, Reservation>()
    private val holders = HashMap<Machine, Job>()

    /** Drops what has expired long ago and what is of no use any more. */
    fun prune(now: Long) {
        val over = reservations.filter { (job, held) -> job.waitingCount == 0 || job.placedCount > 0 || now >= held.until + HELD_MS }.keys.toList()
        over.forEach { reservations.remove(it) }
        holders.clear()
        for ((job, held) in reservations) if (now < held.until) held.machines.forEach { holders[it] = job }
    }

    /** Whether the machine's room is kept for a gang other than [job]. */
    fun isKeptFrom(job: Job?, machine: Machine): Boolean = holders[machine]?.let { it !== job } ?: false

    /** Whether any machine's room is kept for a gang. */
    val isEmpty: Boolean get() = holders.isEmpty()

    /** The machines whose room is kept for the gang. */
    fun machinesOf(job: Job): Set<Machine> = reservations[job]?.machines?.filterTo(LinkedHashSet()) { holders[it] === job }.orEmpty()

    /** Keeps room for the gang, if it has no reservation and there are machines that may come to hold it. */
    fun reserve(job: Job, machines: List<Machine>, now: Long) {
        if (job in reservations) return
        val most = maxOf(FEWEST, machines.size / PART_OF_MACHINES)
        val chosen = machinesToKeep(job, machines.filter { it !in holders }) ?: return
        if (holders.size + chosen.size > most) return
        reservations[job] = Reservation(chosen, now + HELD_MS)
        chosen.forEach { holders[it] = job }
    }

    /** Machines of one zone, if the gang needs that, on which it fits once work that ends by itself has ended: those with most room now. */
    private fun machinesToKeep(job: Job, machines: List<Machine>): Set<Machine>? {
        val spec = job.spec
        val able = machines.filter { allows(spec, it.record.typeName, it.record.zone, it.record.spot) && it !in job.failedOn }
        val groups = if (spec.oneZone) able.groupBy { it.record.zone }.values else listOf(able)
        return groups.mapNotNull { fewest(job, it) }.maxByOrNull { kept -> kept.sumOf { tasksThatFit(spec, it) } }
    }

    private fun fewest(job: Job, machines: List<Machine>): Set<Machine>? {
        val chosen = LinkedHashSet<Machine>()
        var left = job.spec.taskCount
        for (machine in machines.sortedWith(compareBy({ -tasksThatFit(job.spec, it) }, { -tasksOnceFree(job, it) }))) {
            if (left <= 0) break
            val count = tasksOnceFree(job, machine)
            if (count == 0) continue
            chosen.add(machine)
            left -= count
        }
        return if (left <= 0) chosen else null
    }

    /** How many tasks fit once arrays on the machine have ended. */
    private fun tasksOnceFree(job: Job, machine: Machine): Int {
        val ending = machine.placements.values.filter { !it.job.spec.service && !it.job.spec.gang }
        return tasksThatFit(
            job.spec,
            machine.freeCpus + ending.sumOf { it.job.spec.cpus },
            machine.freeGpus + ending.sumOf { it.job.spec.gpus },
            machine.freeMemoryGb + ending.sumOf { it.job.spec.memoryGb },
        )
    }

    private companion object {
        const val HELD_MS = 25_000L
        const val FEWEST = 4
        const val PART_OF_MACHINES = 4
    }
}

package io.reedmast.gangs

import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.placement.FreeResources
import io.reedmast.placement.isEligible
import io.reedmast.placement.tasksThatFit
import io.reedmast.wire.JobSpec

/**
 * Machines on which waiting gangs gather room.
 *
 * Other work ends at scattered times, and each piece of room that it leaves is too small for a gang: arrays take it
 * first, for ever. So arrays are kept off a few machines of one zone until the gang fits there. Services are not, nor
 * is a job that has waited for long. A reservation ends after [HELD_MS] and is not renewed for as long, so that it
 * holds up no other job for more than that, and all of them together hold at most a part of the machines, first come
 * first served, so that none waits for another one's room.
 */
class GangReservations {
    private class Reservation(val machines: Set<Machine>, val until: Long)

    private val reservations = LinkedHashMap<Job, Reservation>()

    /** Machines that arrays leave to the gangs that arrive next. */
    private var forNext: Set<Machine> = emptySet()
    private val holders = HashMap<Machine, Job>()

    /** Drops what has expired long ago and what is of no use any more. */
    fun prune(now: Long) {
        val over = reservations.filter { (job, held) ->
            job.pendingCount == 0 || job.placedCount > 0 ||
                now >= held.until + HELD_MS
        }.keys.toList()
        over.forEach { reservations.remove(it) }
        holders.clear()
        for ((job, held) in reservations) if (now < held.until) held.machines.forEach { holders[it] = job }
    }

    /** Whether the machine's room is kept for a gang other than [job]. */
    fun isKeptFrom(job: Job, machine: Machine): Boolean =
        (!job.spec.gang && machine in forNext) || holders[machine]?.let { it !== job } ?: false

    /** Whether any machine's room is kept for a gang. */
    val isEmpty: Boolean get() = holders.isEmpty() && forNext.isEmpty()

    /** The machines whose room is kept for the gang. */
    fun transferTargetsOf(job: Job): Set<Machine> = reservations[job]?.machines?.filterTo(LinkedHashSet()) {
        holders[it] ===
            job
    }.orEmpty()

    /**
     * Keeps arrays off some machines of one zone, so that the gangs which arrive next find room at once: as much as the
     * largest one of [recent] needs, for as many as arrive while room is gathered. Machines that have gangs' images are
     * preferred.
     */
    fun keepForNext(recent: List<JobSpec>, expected: Double, machines: List<Machine>) {
        val largest = recent.maxByOrNull { it.cpus * it.taskCount }
        if (largest == null) {
            forNext = emptySet()
            return
        }
        val images = recent.mapTo(HashSet()) { it.image }
        val tasks = largest.taskCount * minOf(MAX_GANGS_RESERVED_FOR, 1 + expected.toInt())
        val able = machines.filter {
            isEligible(largest, it.record.typeName, it.record.zone, it.record.spot) &&
                it !in holders &&
                !it.record.spot
        }
        val groups = if (recent.any { it.oneZone }) able.groupBy { it.record.zone }.values else listOf(able)
        val most = maxOf(FEWEST, machines.size / PART_FOR_NEXT)
        fun warmth(machine: Machine) = images.count { it in machine.images }
        val order = compareBy<Machine>({ it !in forNext }, { -warmth(it) }, { -tasksThatFit(largest, it) })
        val choices = groups.map { group -> firstThatHold(largest, tasks, group.sortedWith(order), most) }
        forNext = choices.maxByOrNull { chosen ->
            chosen.count { it in forNext } * STAYS + chosen.sumOf { warmth(it) } +
                chosen.sumOf { tasksOnceFree(largest, it) }
        }.orEmpty()
    }

    private fun firstThatHold(spec: JobSpec, tasks: Int, machines: List<Machine>, most: Int): Set<Machine> {
        val chosen = LinkedHashSet<Machine>()
        var left = tasks
        for (machine in machines) {
            if (left <= 0 || chosen.size >= most) break
            val count = tasksOnceFree(spec, machine)
            if (count == 0) continue
            chosen.add(machine)
            left -= count
        }
        return chosen
    }

    /** Keeps room for the gang, if it has no reservation and there are machines that may come to hold it. */
    fun reserve(job: Job, machines: List<Machine>, now: Long) {
        if (job in reservations) return
        val most = maxOf(FEWEST, machines.size / PART_OF_MACHINES)
        val chosen = machinesToKeep(job, machines.filter { it !in holders }) ?: return
        if (holders.size + chosen.size > most) return
        reservations[job] = Reservation(chosen, now + HELD_MS)
        chosen.forEach { holders[it] = job }
    }

    /**
     * Machines of one zone, if the gang needs that, on which it fits once work that ends by itself has ended: those
     * with most room now.
     */
    private fun machinesToKeep(job: Job, machines: List<Machine>): Set<Machine>? {
        val spec = job.spec
        val able = machines.filter {
            isEligible(spec, it.record.typeName, it.record.zone, it.record.spot) &&
                it !in job.failedOn
        }
        val groups = if (spec.oneZone) able.groupBy { it.record.zone }.values else listOf(able)
        return groups.mapNotNull { fewest(job, it) }.maxByOrNull { kept -> kept.sumOf { tasksThatFit(spec, it) } }
    }

    private fun fewest(job: Job, machines: List<Machine>): Set<Machine>? {
        val order = compareBy<Machine>({ -tasksThatFit(job.spec, it) }, { -tasksOnceFree(job.spec, it) })
        val chosen = firstThatHold(job.spec, job.spec.taskCount, machines.sortedWith(order), Int.MAX_VALUE)
        return chosen.takeIf { it.sumOf { machine -> tasksOnceFree(job.spec, machine) } >= job.spec.taskCount }
    }

    /** How many tasks fit once arrays on the machine have ended. */
    private fun tasksOnceFree(spec: JobSpec, machine: Machine): Int {
        val ending = machine.placements.values.filter { !it.job.spec.service && !it.job.spec.gang }
        val freeOnceEnded = FreeResources(
            machine.freeCpus + ending.sumOf { it.job.spec.cpus },
            machine.freeGpus + ending.sumOf { it.job.spec.gpus },
            machine.freeMemoryGb + ending.sumOf { it.job.spec.memoryGb },
        )
        return freeOnceEnded.tasksThatFit(spec)
    }

    private companion object {
        const val HELD_MS = 25_000L
        const val FEWEST = 4
        const val PART_OF_MACHINES = 4
        const val PART_FOR_NEXT = 8
        const val MAX_GANGS_RESERVED_FOR = 3

        /**
         * What a machine that is kept already is worth against tasks that others hold: room is gathered where it has
         * begun to be.
         */
        const val STAYS = 4
    }
}

package io.reedmast.placement

import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.wire.JobSpec
import io.reedmast.wire.MachineType

/** Whether a job may ever run on a machine of this kind, whatever else is on it. */
fun isEligible(spec: JobSpec, typeName: String, zone: String, spot: Boolean): Boolean =
    (!spot || spec.spot) && (spec.allowedTypes == null || typeName in spec.allowedTypes) &&
        (spec.zone == null || zone == spec.zone)

/**
 * Whether one more task of [job] may start in [zone], given every other task of it that may be on a machine.
 *
 * In-flight launches and attempts on silent machines count like running ones: `oneZone` and `apart` are broken by what
 * is there, not by what was heard.
 */
fun satisfiesZoneRules(job: Job, zone: String): Boolean {
    val spec = job.spec
    if (!spec.oneZone && !spec.spread) return true
    var here = 0
    for (other in job.placements()) {
        val there = other.machine.record.zone
        // Of a machine that is known by name alone, the zone is not known: it may be this one, and may be another.
        if (there == zone || there.isEmpty()) here++
        if (there != zone && spec.oneZone) return false
    }
    return !spec.spread || here + 1 <= (spec.taskCount + 1) / 2
}

/**
 * Where new room for one more task of [job] would be of use: null if anywhere, else those of [zones] that its other
 * tasks leave open to it.
 *
 * What is rented in another zone stays empty, and hides that the job still waits.
 */
fun openZones(job: Job, zones: Collection<String>): Set<String>? {
    val spec = job.spec
    if ((!spec.oneZone && !spec.spread) || job.placedCount == 0) return null
    return zones.filterTo(LinkedHashSet()) { satisfiesZoneRules(job, it) }
}

/**
 * Free room on machines that hold services, and how much of it other work leaves to the services that arrive next.
 *
 * Without it, arrays fill such machines to the brim, each new service takes whatever machine has a task's end just
 * then, and at the end of the arrays there is a machine to be paid for under every single service.
 */
class ServiceHeadroom(var free: Double, private val reserve: Double) {
    fun leaves(cpus: Double) = free - cpus >= reserve
}

/**
 * The one of [machines], all of them usable, on which a task of [job] should start now, or null. Lower scores are
 * better.
 *
 * Work that may use spot machines keeps an ordinary one that is [isExpensive] from becoming empty only if it is [late].
 * A job that [isStarving] goes back to where it failed, too.
 */
fun selectMachine(
    job: Job,
    machines: List<Machine>,
    late: Boolean,
    isStarving: Boolean,
    room: ServiceHeadroom,
    isExpensive: (MachineType, Job) -> Boolean,
): Machine? {
    val spec = job.spec
    var best: Machine? = null
    var bestScore = Double.MAX_VALUE
    for (machine in machines) {
        if (!machine.fits(spec.cpus, spec.gpus, spec.memoryGb)) continue
        if (!isEligible(spec, machine.record.typeName, machine.record.zone, machine.record.spot)) continue
        if (!late && spec.spot && !machine.record.spot && !machine.held &&
            machine.machineType?.let { isExpensive(it, job) } == true
        ) {
            continue
        }
        if (!spec.service && !late && machine.isServiceHome && !room.leaves(spec.cpus)) continue
        if ((!isStarving && machine in job.failedOn) || !satisfiesZoneRules(job, machine.record.zone)) continue
        val score = score(spec, machine)
        if (score < bestScore) {
            bestScore = score
            best = machine
        }
    }
    return best
}

/**
 * Seconds until the task could run, and what else speaks against the machine, in the same unit.
 *
 * Services stay for long and hold their machines, so they gather on few and cheap ones; other work fills up what
 * services hold anyway, then spot machines, and leaves ordinary machines to become empty.
 */
internal fun score(spec: JobSpec, machine: Machine): Double {
    val machineType = machine.machineType ?: return Double.MAX_VALUE
    val fetch = if (spec.image in machine.images) 0.0 else spec.imageGb / machineType.fetchGbPerS
    val permitLevel = FULLNESS_S * machine.freeCpus / maxOf(machineType.cpus, 1e-3)
    val cost =
        when {
            spec.spot && (machine.held || machine.record.spot) -> 0.0
            else -> COST_S * machine.hourlyPrice / maxOf(machineType.cpus, 1e-3)
        }
    return fetch + permitLevel + cost + if (spec.service && !machine.held) LONE_S else 0.0
}

private const val FULLNESS_S = 1.0
private const val LONE_S = 8.0

/** An hour's price of a CPU, as seconds of delay that are worth it. */
private const val COST_S = 30.0

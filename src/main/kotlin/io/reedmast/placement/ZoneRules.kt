package io.reedmast.placement

import io.reedmast.model.Job
import io.reedmast.wire.JobSpec

/**
 * Whether one more task of [job] may start in [zone], given every other task of it that may be on a machine.
 *
 * In-flight launches and attempts on machines that have gone silent count like running ones: the rules `oneZone` and
 * `spread` are broken by what is there, not by what was reported (PROTOCOL, POST /submissions and Rules).
 */
fun satisfiesZoneRules(job: Job, zone: String): Boolean {
    if (!hasZoneRules(job.spec)) return true
    val spec = job.spec
    val zonesInUse = job.placements().map { it.machine.record.zone }
    if (spec.oneZone && zonesInUse.any { it != zone }) return false
    // The zone of a machine that is known by name alone is not known: it may be this one or another.
    val tasksHere = zonesInUse.count { it == zone || it.isEmpty() }
    return !spec.spread || tasksHere + 1 <= halfRoundedUp(spec.taskCount)
}

/**
 * Where new capacity for one more task of [job] would be of use: null if anywhere, else those of [zones] that its other
 * tasks leave open to it.
 *
 * A machine that is provisioned in another zone stays empty, and hides that the job still waits.
 */
fun zonesAllowedByRules(job: Job, zones: Collection<String>): Set<String>? {
    if (!hasZoneRules(job.spec) || job.placedCount == 0) return null
    return zones.filterTo(LinkedHashSet()) { satisfiesZoneRules(job, it) }
}

/** Whether the zones of the cloud can never hold the whole gang by its own rules, however much capacity there is. */
fun areZoneRulesUnsatisfiable(spec: JobSpec, zones: Set<String>): Boolean {
    if (!spec.isGang || !spec.spread) return false
    val usableZones = if (spec.oneZone || spec.zone != null) 1 else zones.size
    return usableZones > 0 && maxGangTasksInOneZone(spec).toLong() * usableZones < spec.taskCount
}

/** Whether it matters to the job's tasks in which zone its other tasks are. */
private fun hasZoneRules(spec: JobSpec): Boolean = spec.oneZone || spec.spread

/** How many tasks of the gang one zone may hold. */
internal fun maxGangTasksInOneZone(spec: JobSpec): Int =
    if (spec.spread) halfRoundedUp(spec.taskCount) else spec.taskCount

/** At most half of a spread job's tasks, rounded up, may be in one zone (PROTOCOL, POST /submissions). */
private fun halfRoundedUp(taskCount: Int): Int = (taskCount + 1) / 2

package io.reedmast.placement

import io.reedmast.model.Job
import io.reedmast.wire.JobSpec

/**
 * Whether one more task of [job] may start in [zone], given all other tasks of the job that may be on a machine.
 *
 * In-flight launches and attempts on machines that no longer send heartbeats count like running tasks: the rules
 * `oneZone` and `spread` are violated by what is on the machines, not by what was reported (PROTOCOL, POST /submissions
 * and Rules).
 */
fun satisfiesZoneRules(job: Job, zone: String): Boolean {
    if (!hasZoneRules(job.spec)) return true
    val spec = job.spec
    val zonesInUse = job.placements().map { it.machine.record.zone }
    if (spec.oneZone && zonesInUse.any { it != zone }) return false
    // A machine of which only the name is known has an empty zone here: it may be in this zone or in another.
    val tasksHere = zonesInUse.count { it == zone || it.isEmpty() }
    return !spec.spread || tasksHere + 1 <= halfRoundedUp(spec.taskCount)
}

/**
 * The zones in which new capacity for one more task of [job] would be useful: those of [zones] that the zone rules
 * allow, given the job's other tasks; null if any zone would do.
 *
 * A machine that is provisioned in another zone stays empty, and hides that the job is still waiting.
 */
fun zonesAllowedByRules(job: Job, zones: Collection<String>): Set<String>? {
    if (!hasZoneRules(job.spec) || job.placedCount == 0) return null
    return zones.filterTo(LinkedHashSet()) { satisfiesZoneRules(job, it) }
}

/** Whether its own zone rules keep the whole gang from ever fitting in [zones], however much capacity they have. */
fun areZoneRulesUnsatisfiable(spec: JobSpec, zones: Set<String>): Boolean {
    if (!spec.isGang || !spec.spread) return false
    val usableZones = if (spec.oneZone || spec.zone != null) 1 else zones.size
    return usableZones > 0 && maxGangTasksInOneZone(spec).toLong() * usableZones < spec.taskCount
}

/** Whether the zones of some of the job's tasks restrict in which zones its other tasks may run. */
private fun hasZoneRules(spec: JobSpec): Boolean = spec.oneZone || spec.spread

/** The maximum number of tasks of the gang in one zone. */
internal fun maxGangTasksInOneZone(spec: JobSpec): Int =
    if (spec.spread) halfRoundedUp(spec.taskCount) else spec.taskCount

/** At most half of a spread job's tasks, rounded up, may be in one zone (PROTOCOL, POST /submissions). */
private fun halfRoundedUp(taskCount: Int): Int = (taskCount + 1) / 2

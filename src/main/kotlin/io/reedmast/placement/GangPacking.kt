package io.reedmast.placement

import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.wire.JobSpec

/** How many tasks of a gang start on each machine; together they are the whole gang. */
data class GangAssignment(val tasksByMachine: Map<Machine, Int>)

/**
 * Where all tasks of the gang [job] should start now, or null if there is no room for all of them.
 *
 * A gang starts when its slowest machine is ready, so among the zones that have room the one whose worst machine is
 * best is taken. [mayUse] leaves out machines that the job must not or should not use.
 */
fun packGang(job: Job, machines: List<Machine>, mayUse: (Machine) -> Boolean): GangAssignment? {
    val spec = job.spec
    val usable = machines
        .filter {
            isEligible(spec, it.record.typeName, it.record.zone, it.record.spot) && tasksThatFit(spec, it) > 0 &&
                mayUse(it)
        }
        .sortedBy { score(spec, it) }
    val groups = if (spec.oneZone) usable.groupBy { it.record.zone }.values else listOf(usable)
    return groups.mapNotNull {
        pack(spec, it)
    }.minByOrNull { packed -> packed.tasksByMachine.keys.maxOf { score(spec, it) } }
}

/** Fills the machines in their order; null if the gang does not fit on them. */
private fun pack(spec: JobSpec, machines: List<Machine>): GangAssignment? {
    val chosen = LinkedHashMap<Machine, Int>()
    val perZone = HashMap<String, Int>()
    var left = spec.taskCount
    for (machine in machines) {
        if (left == 0) break
        val inZone = perZone[machine.record.zone] ?: 0
        val count = minOf(left, tasksThatFit(spec, machine), maxInOneZone(spec) - inZone)
        if (count <= 0) continue
        chosen[machine] = count
        perZone[machine.record.zone] = inZone + count
        left -= count
    }
    return if (left == 0) GangAssignment(chosen) else null
}

/** How many tasks of the gang one zone may hold. */
private fun maxInOneZone(spec: JobSpec) = if (spec.spread) (spec.taskCount + 1) / 2 else spec.taskCount

/** How many tasks of this shape fit into what is free on the machine. */
fun tasksThatFit(spec: JobSpec, machine: Machine): Int =
    tasksThatFit(spec, machine.freeCpus, machine.freeGpus, machine.freeMemoryGb)

/** How many tasks of this shape fit into this room. */
fun tasksThatFit(spec: JobSpec, cpus: Double, gpus: Double, memoryGb: Double): Int {
    fun share(room: Double, perTask: Double) = if (perTask <=
        0.0
    ) {
        Int.MAX_VALUE
    } else {
        ((room + Machine.EPSILON) / perTask).toInt()
    }
    return maxOf(0, minOf(share(cpus, spec.cpus), share(gpus, spec.gpus), share(memoryGb, spec.memoryGb)))
}

/** Whether the zones of the cloud can never hold the whole gang by its own rules, however much room there is. */
fun zoneRulesNeverHold(spec: JobSpec, zones: Set<String>): Boolean {
    if (!spec.gang || !spec.spread) return false
    val usableZones = if (spec.oneZone || spec.zone != null) 1 else zones.size
    return usableZones > 0 && maxInOneZone(spec).toLong() * usableZones < spec.taskCount
}

package io.reedmast.gangs

import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.placement.FreeResources
import io.reedmast.placement.gangPlacementGroups
import io.reedmast.placement.isEligible
import io.reedmast.placement.tasksThatFit
import io.reedmast.wire.JobSpec
import io.reedmast.wire.reportedTaskBytes

/**
 * Selects machines to reserve for the waiting gang [job], on which it fits once arrays there have ended. If the gang
 * must run in one zone, they are all in one zone: of several possible ones, the zone whose selected machines have the
 * most capacity free now. Null if there are no such machines.
 */
internal fun selectMachinesForWaitingGang(job: Job, machines: List<Machine>): Set<Machine>? {
    val eligible = machines.filter { isEligible(job.spec, it.record) && it !in job.failedOn }
    return gangPlacementGroups(eligible, job.spec.oneZone)
        .mapNotNull { selectUntilGangFits(job.spec, it) }
        .maxByOrNull { selected -> selected.sumOf { tasksThatFit(job.spec, it) } }
}

/**
 * Selects machines, those with the most capacity free now first, until the whole gang fits on them once arrays there
 * have ended; null if it does not fit even on all [machines].
 */
private fun selectUntilGangFits(spec: JobSpec, machines: List<Machine>): Set<Machine>? {
    val mostFreeFirst = compareBy<Machine>({ -tasksThatFit(spec, it) }, { -tasksOnceArraysEnd(spec, it) })
    val selected = firstMachinesThatHold(spec, spec.taskCount, machines.sortedWith(mostFreeFirst))
    return selected.takeIf { it.sumOf { machine -> tasksOnceArraysEnd(spec, machine) } >= spec.taskCount }
}

/**
 * The first of [machines] that together hold [taskCount] tasks once arrays there have ended, but at most [maxMachines].
 * Machines that would not hold any task are skipped.
 */
internal fun firstMachinesThatHold(
    spec: JobSpec,
    taskCount: Int,
    machines: List<Machine>,
    maxMachines: Int = Int.MAX_VALUE,
): Set<Machine> {
    val selected = LinkedHashSet<Machine>()
    var remainingTasks = taskCount
    for (machine in machines) {
        if (remainingTasks <= 0 || selected.size >= maxMachines) break
        val tasks = tasksOnceArraysEnd(spec, machine)
        if (tasks > 0) selected.add(machine)
        remainingTasks -= tasks
    }
    return selected
}

/** How many tasks of this shape fit on the machine once all arrays there have ended. */
internal fun tasksOnceArraysEnd(spec: JobSpec, machine: Machine): Int {
    val arrayTasks = machine.placements.values.filter { !it.job.spec.isService && !it.job.spec.isGang }
    val freeOnceEnded = FreeResources(
        machine.freeCpus + arrayTasks.sumOf { it.job.spec.cpus },
        machine.freeGpus + arrayTasks.sumOf { it.job.spec.gpus },
        machine.freeMemoryGb + arrayTasks.sumOf { it.job.spec.memoryGb },
        machine.freeReportBytes + arrayTasks.sumOf { it.job.spec.reportedTaskBytes },
    )
    return freeOnceEnded.tasksThatFit(spec)
}

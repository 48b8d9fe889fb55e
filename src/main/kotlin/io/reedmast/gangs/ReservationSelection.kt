package io.reedmast.gangs

import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.placement.FreeResources
import io.reedmast.placement.gangPlacementGroups
import io.reedmast.placement.isEligible
import io.reedmast.placement.tasksThatFit
import io.reedmast.wire.JobSpec

/**
 * Which of [machines] to reserve for the waiting gang [job]: machines of one zone, if the gang needs that, on which it
 * fits once arrays there have ended; of several zones the one with most capacity free now. Null if there are none.
 */
internal fun selectMachinesForWaitingGang(job: Job, machines: List<Machine>): Set<Machine>? {
    val eligible = machines.filter { isEligible(job.spec, it.record) && it !in job.failedOn }
    return gangPlacementGroups(eligible, job.spec.oneZone)
        .mapNotNull { selectUntilGangFits(job.spec, it) }
        .maxByOrNull { selected -> selected.sumOf { tasksThatFit(job.spec, it) } }
}

/** Machines, those with most free now first, until the whole gang fits once arrays there have ended; null if never. */
private fun selectUntilGangFits(spec: JobSpec, machines: List<Machine>): Set<Machine>? {
    val mostFreeFirst = compareBy<Machine>({ -tasksThatFit(spec, it) }, { -tasksOnceArraysEnd(spec, it) })
    val selected = firstMachinesThatHold(spec, spec.taskCount, machines.sortedWith(mostFreeFirst))
    return selected.takeIf { it.sumOf { machine -> tasksOnceArraysEnd(spec, machine) } >= spec.taskCount }
}

/**
 * The first of [machines] that together hold [taskCount] tasks once arrays there have ended, but at most [maxMachines].
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

/** How many tasks of this shape fit once arrays on the machine have ended. */
internal fun tasksOnceArraysEnd(spec: JobSpec, machine: Machine): Int {
    val arrayTasks = machine.placements.values.filter { !it.job.spec.isService && !it.job.spec.isGang }
    val freeOnceEnded = FreeResources(
        machine.freeCpus + arrayTasks.sumOf { it.job.spec.cpus },
        machine.freeGpus + arrayTasks.sumOf { it.job.spec.gpus },
        machine.freeMemoryGb + arrayTasks.sumOf { it.job.spec.memoryGb },
    )
    return freeOnceEnded.tasksThatFit(spec)
}

package io.reedmast.placement

import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.wire.JobSpec

/**
 * Assigns all tasks of the gang [job] to machines on which they should start now; null if there is not enough capacity
 * for all of them.
 *
 * A gang starts only when its slowest machine is ready. Therefore, among the zones with enough capacity, the one whose
 * worst selected machine has the best score is chosen. [mayUse] is false for machines that the job must not or should
 * not use.
 */
fun packGang(job: Job, machines: List<Machine>, mayUse: (Machine) -> Boolean): GangAssignment? {
    val spec = job.spec
    val usableMachines = machines
        .filter { isEligible(spec, it.record) && tasksThatFit(spec, it) > 0 && mayUse(it) }
        .sortedBy { score(spec, it) }
    return gangPlacementGroups(usableMachines, spec.oneZone)
        .mapNotNull { pack(spec, it) }
        .minByOrNull { assignment -> assignment.tasksByMachine.keys.maxOf { score(spec, it) } }
}

/** Groups of machines, in one of which the whole gang has to fit: a group per zone if it needs [oneZone], else one. */
internal fun gangPlacementGroups(machines: List<Machine>, oneZone: Boolean): Collection<List<Machine>> =
    if (oneZone) machines.groupBy { it.record.zone }.values else listOf(machines)

/** Fills the machines in order; null if the gang does not fit on them. */
private fun pack(spec: JobSpec, machines: List<Machine>): GangAssignment? {
    val tasksByMachine = LinkedHashMap<Machine, Int>()
    val tasksByZone = HashMap<String, Int>()
    var remainingTasks = spec.taskCount
    for (machine in machines) {
        if (remainingTasks == 0) break
        val zone = machine.record.zone
        val tasksInZone = tasksByZone[zone] ?: 0
        val tasks = minOf(remainingTasks, tasksThatFit(spec, machine), maxGangTasksInOneZone(spec) - tasksInZone)
        if (tasks > 0) {
            tasksByMachine[machine] = tasks
            tasksByZone[zone] = tasksInZone + tasks
            remainingTasks -= tasks
        }
    }
    return if (remainingTasks == 0) GangAssignment(tasksByMachine) else null
}

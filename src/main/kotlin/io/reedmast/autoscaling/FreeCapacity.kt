package io.reedmast.autoscaling

import io.reedmast.model.Machine
import io.reedmast.model.MachineRecord
import io.reedmast.placement.isEligible
import io.reedmast.wire.JobSpec

/** A machine's free capacity, to which tasks are allocated only for an estimate; nothing is placed on the machine. */
class FreeCapacity(
    val record: MachineRecord,
    private var cpus: Double,
    private var gpus: Double,
    private var memoryGb: Double,
) {
    val freeCpus: Double get() = cpus

    /** Allocates as many of [taskCount] tasks as fit, and returns how many. */
    fun allocate(spec: JobSpec, taskCount: Int): Int {
        if (!isEligible(spec, record.typeName, record.zone, record.spot)) return 0
        val fitting = minOf(
            minOf(taskCount, tasksWithin(cpus, spec.cpus)),
            tasksWithin(gpus, spec.gpus),
            tasksWithin(memoryGb, spec.memoryGb),
        )
        if (fitting <= 0) return 0
        cpus -= spec.cpus * fitting
        gpus -= spec.gpus * fitting
        memoryGb -= spec.memoryGb * fitting
        return fitting
    }

    private fun tasksWithin(free: Double, perTask: Double): Int =
        if (perTask > 0) ((free + Machine.EPSILON) / perTask).toInt() else Int.MAX_VALUE
}

/** Allocates up to [taskCount] tasks to [capacities] in their order, and returns how many of them do not fit. */
fun allocateAndCountRemaining(spec: JobSpec, taskCount: Int, capacities: List<FreeCapacity>): Int {
    var remaining = taskCount
    for (capacity in capacities) {
        if (remaining <= 0) break
        remaining -= capacity.allocate(spec, remaining)
    }
    return remaining
}

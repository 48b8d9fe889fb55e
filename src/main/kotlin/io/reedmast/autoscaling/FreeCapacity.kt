package io.reedmast.autoscaling

import io.reedmast.model.Machine
import io.reedmast.model.MachineRecord
import io.reedmast.placement.isEligible
import io.reedmast.wire.JobSpec

/** Free room of a machine, which is filled up in thought. */
class FreeCapacity(
    val record: MachineRecord,
    private var cpus: Double,
    private var gpus: Double,
    private var memoryGb: Double,
) {
    val freeCpus: Double get() = cpus

    /** Takes as many of [most] tasks as fit, and returns how many. */
    fun allocate(spec: JobSpec, most: Int): Int {
        if (!isEligible(spec, record.typeName, record.zone, record.spot)) return 0
        var fit = most
        if (spec.cpus > 0) fit = minOf(fit, ((cpus + Machine.EPSILON) / spec.cpus).toInt())
        if (spec.gpus > 0) fit = minOf(fit, ((gpus + Machine.EPSILON) / spec.gpus).toInt())
        if (spec.memoryGb > 0) fit = minOf(fit, ((memoryGb + Machine.EPSILON) / spec.memoryGb).toInt())
        if (fit <= 0) return 0
        cpus -= spec.cpus * fit
        gpus -= spec.gpus * fit
        memoryGb -= spec.memoryGb * fit
        return fit
    }
}

/** How many of [count] tasks find no room in [rooms]. */
fun countWithoutRoom(spec: JobSpec, count: Int, rooms: List<FreeCapacity>): Int {
    var left = count
    for (room in rooms) {
        if (left <= 0) break
        left -= room.allocate(spec, left)
    }
    return left
}

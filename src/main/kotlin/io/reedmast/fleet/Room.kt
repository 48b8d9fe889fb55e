package io.reedmast.fleet

import io.reedmast.placement.allows
import io.reedmast.wire.JobSpec
import io.reedmast.workers.HostRecord
import io.reedmast.workers.Machine

/** Free room of a machine, which is filled up in thought. */
class Room(val host: HostRecord, private var cpus: Double, private var gpus: Double, private var memoryGb: Double) {
    val freeCpus: Double get() = cpus

    /** Takes as many of [most] tasks as fit, and returns how many. */
    fun take(spec: JobSpec, most: Int): Int {
        if (!allows(spec, host.typeName, host.zone, host.spot)) return 0
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
fun countWithoutRoom(spec: JobSpec, count: Int, rooms: List<Room>): Int {
    var left = count
    for (room in rooms) {
        if (left <= 0) break
        left -= room.take(spec, left)
    }
    return left
}

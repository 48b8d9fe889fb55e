package io.reedmast.autoscaling

import io.reedmast.wire.Fields
import io.reedmast.wire.JobSpec
import io.reedmast.wire.MachineType
import io.reedmast.wire.amount
import io.reedmast.wire.count
import io.reedmast.wire.flag
import io.reedmast.wire.optionalText
import io.reedmast.wire.optionalTexts

/**
 * Tasks for which a shard has no room, neither now nor on machines that are on their way: all that may run on the same
 * machines, taken together. A shape for each job would not fit a record, nor the calls that the cloud takes.
 */
data class Demand(
    /** What a task takes on average, and at most. */
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
    val maxCpus: Double,
    val maxGpus: Double,
    val maxMemoryGb: Double,
    val spot: Boolean,
    val allowedTypes: List<String>?,
    val zone: String?,
    /** The jobs are past their due time: then a dear machine is better than none. */
    val late: Boolean,
    val count: Int,
) {
    fun toFields(): Fields = mapOf(
        "cpus" to cpus,
        "gpus" to gpus,
        "memoryGb" to memoryGb,
        "maxCpus" to maxCpus,
        "maxGpus" to maxGpus,
        "maxMemoryGb" to maxMemoryGb,
        "spot" to spot,
        "allowedTypes" to allowedTypes,
        "zone" to zone,
        "late" to late,
        "count" to count,
    )

    /** How many of the tasks an empty machine holds, 0 if not each of them. */
    fun heldBy(machineType: MachineType): Int = if (machineType.holds(maxCpus, maxGpus, maxMemoryGb) <
        1
    ) {
        0
    } else {
        maxOf(1, machineType.holds(cpus, gpus, memoryGb))
    }

    fun runsOn(typeName: String, zone: String, onSpot: Boolean): Boolean =
        (!onSpot || spot) && (allowedTypes == null || typeName in allowedTypes) &&
            (this.zone == null || this.zone == zone)

    /** Both together; their averages weigh by their counts. */
    fun plus(other: Demand): Demand {
        val all = count + other.count
        fun mean(a: Double, b: Double) = (a * count + b * other.count) / all
        return copy(
            cpus = mean(cpus, other.cpus),
            gpus = mean(gpus, other.gpus),
            memoryGb = mean(memoryGb, other.memoryGb),
            maxCpus = maxOf(maxCpus, other.maxCpus),
            maxGpus = maxOf(maxGpus, other.maxGpus),
            maxMemoryGb = maxOf(maxMemoryGb, other.maxMemoryGb),
            count = all,
        )
    }

    /** What may be added up: tasks that may run on the same machines. */
    fun kind(): Any = listOf(spot, allowedTypes, zone, late)

    companion object {
        /** [zone]: the only zone in which room is of use, by the job itself or by where its other tasks are. */
        fun of(spec: JobSpec, late: Boolean, count: Int, zone: String? = spec.zone) = Demand(
            cpus = spec.cpus,
            gpus = spec.gpus,
            memoryGb = spec.memoryGb,
            maxCpus = spec.cpus,
            maxGpus = spec.gpus,
            maxMemoryGb = spec.memoryGb,
            spot = spec.spot,
            allowedTypes = spec.allowedTypes?.sorted(),
            zone = zone,
            late = late,
            count = count,
        )

        fun parse(fields: Fields) = Demand(
            fields.amount("cpus"),
            fields.amount("gpus"),
            fields.amount("memoryGb"),
            fields.amount("maxCpus"),
            fields.amount("maxGpus"),
            fields.amount("maxMemoryGb"),
            fields.flag("spot"),
            fields.optionalTexts("allowedTypes"),
            fields.optionalText("zone"),
            fields.flag("late"),
            fields.count("count").toInt(),
        )
    }
}

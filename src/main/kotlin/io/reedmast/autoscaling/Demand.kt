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
 * The tasks that may run on the same machines and for which a shard lacks capacity, both now and on machines that are
 * still booting.
 *
 * They are added up, since one entry per job would exceed the size limit of a stored record and the number of calls
 * that the cloud accepts.
 *
 * @property meanCpus Mean CPUs per task.
 * @property meanGpus Mean GPUs per task.
 * @property meanMemoryGb Mean memory per task in GB.
 * @property maxCpus CPUs of the largest task.
 * @property maxGpus GPUs of the largest task.
 * @property maxMemoryGb Memory in GB of the largest task.
 * @property spot Whether the tasks may run on spot machines.
 * @property allowedTypes Labels of the machine types that the tasks may run on, sorted; null if any.
 * @property zone The only zone in which new capacity is useful; null if any is.
 * @property pastDeadline Whether the jobs are past their deadlines: an expensive machine is then better than none.
 * @property taskCount The number of tasks.
 */
data class Demand(
    val meanCpus: Double,
    val meanGpus: Double,
    val meanMemoryGb: Double,
    val maxCpus: Double,
    val maxGpus: Double,
    val maxMemoryGb: Double,
    val spot: Boolean,
    val allowedTypes: List<String>?,
    val zone: String?,
    val pastDeadline: Boolean,
    val taskCount: Int,
) {
    /** Only demands of the same kind, whose tasks may run on the same machines, can be added up. */
    val kind: DemandKind get() = DemandKind(spot, allowedTypes, zone, pastDeadline)

    /** The form in which the demand is stored. */
    fun toFields(): Fields = mapOf(
        "cpus" to meanCpus,
        "gpus" to meanGpus,
        "memoryGb" to meanMemoryGb,
        "maxCpus" to maxCpus,
        "maxGpus" to maxGpus,
        "maxMemoryGb" to maxMemoryGb,
        "spot" to spot,
        "allowedTypes" to allowedTypes,
        "zone" to zone,
        "late" to pastDeadline,
        "count" to taskCount,
    )

    /** How many of the tasks an empty machine of this type holds; 0 if it cannot hold the largest of them. */
    fun tasksPerMachine(machineType: MachineType): Int {
        if (machineType.capacityFor(maxCpus, maxGpus, maxMemoryGb) < 1) return 0
        return maxOf(1, machineType.capacityFor(meanCpus, meanGpus, meanMemoryGb))
    }

    /** Whether the tasks may run on machines of this type. */
    fun allowsType(typeName: String): Boolean = allowedTypes == null || typeName in allowedTypes

    /** Whether the tasks may run on machines in this zone. */
    fun allowsZone(zoneName: String): Boolean = zone == null || zone == zoneName

    /** Whether the tasks may run on machines of this type and zone, spot machines if [onSpot]. */
    fun mayRunOn(typeName: String, zoneName: String, onSpot: Boolean): Boolean =
        (!onSpot || spot) && allowsType(typeName) && allowsZone(zoneName)

    /** The sum of both demands, which must be of the same [kind]; averages are weighted by the task counts. */
    operator fun plus(other: Demand): Demand {
        val totalCount = taskCount + other.taskCount
        fun mean(own: Double, others: Double) = (own * taskCount + others * other.taskCount) / totalCount
        return copy(
            meanCpus = mean(meanCpus, other.meanCpus),
            meanGpus = mean(meanGpus, other.meanGpus),
            meanMemoryGb = mean(meanMemoryGb, other.meanMemoryGb),
            maxCpus = maxOf(maxCpus, other.maxCpus),
            maxGpus = maxOf(maxGpus, other.maxGpus),
            maxMemoryGb = maxOf(maxMemoryGb, other.maxMemoryGb),
            taskCount = totalCount,
        )
    }

    companion object {
        /**
         * The demand of [taskCount] tasks of one job. [zone] is the only zone in which new capacity is useful, because
         * of the job's own setting or of where its other tasks are.
         */
        fun of(spec: JobSpec, pastDeadline: Boolean, taskCount: Int, zone: String? = spec.zone) = Demand(
            meanCpus = spec.cpus,
            meanGpus = spec.gpus,
            meanMemoryGb = spec.memoryGb,
            maxCpus = spec.cpus,
            maxGpus = spec.gpus,
            maxMemoryGb = spec.memoryGb,
            spot = spec.spot,
            allowedTypes = spec.allowedTypes?.sorted(),
            zone = zone,
            pastDeadline = pastDeadline,
            taskCount = taskCount,
        )

        /**
         * Reads what [toFields] wrote.
         *
         * @throws io.reedmast.wire.MalformedException if a field is missing or of another type.
         */
        fun parse(fields: Fields) = Demand(
            meanCpus = fields.amount("cpus"),
            meanGpus = fields.amount("gpus"),
            meanMemoryGb = fields.amount("memoryGb"),
            maxCpus = fields.amount("maxCpus"),
            maxGpus = fields.amount("maxGpus"),
            maxMemoryGb = fields.amount("maxMemoryGb"),
            spot = fields.flag("spot"),
            allowedTypes = fields.optionalTexts("allowedTypes"),
            zone = fields.optionalText("zone"),
            pastDeadline = fields.flag("late"),
            taskCount = fields.count("count").toInt(),
        )
    }
}

package io.reedmast.placement

import io.reedmast.model.Machine
import io.reedmast.wire.JobSpec
import io.reedmast.wire.reportedTaskBytes

/** The resources that are free on a machine, or would be once some of its tasks have ended. */
internal data class FreeResources(
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
    /** What the worker's status has room for, in bytes. */
    val reportBytes: Int,
) {
    /** The resources that are free once, in addition, a task of the job [ended] has ended. */
    operator fun plus(ended: JobSpec) = FreeResources(
        cpus + ended.cpus,
        gpus + ended.gpus,
        memoryGb + ended.memoryGb,
        reportBytes + ended.reportedTaskBytes,
    )

    /** How many tasks of the job [spec] fit into these resources. */
    fun tasksThatFit(spec: JobSpec): Int {
        val byCpus = tasksThatFit(cpus, spec.cpus)
        val byGpus = tasksThatFit(gpus, spec.gpus)
        val byMemory = tasksThatFit(memoryGb, spec.memoryGb)
        val byReport = reportBytes / spec.reportedTaskBytes
        return maxOf(0, minOf(byCpus, byGpus, byMemory, byReport))
    }

    private fun tasksThatFit(free: Double, perTask: Double): Int =
        if (perTask <= 0.0) Int.MAX_VALUE else ((free + Machine.EPSILON) / perTask).toInt()

    companion object {
        /** The resources that are free on [machine] now. */
        fun of(machine: Machine) =
            FreeResources(machine.freeCpus, machine.freeGpus, machine.freeMemoryGb, machine.freeReportBytes)
    }
}

/** How many tasks of the job [spec] fit on [machine] now. */
internal fun tasksThatFit(spec: JobSpec, machine: Machine): Int = FreeResources.of(machine).tasksThatFit(spec)

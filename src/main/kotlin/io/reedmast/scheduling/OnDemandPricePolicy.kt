package io.reedmast.scheduling

import io.reedmast.autoscaling.isTooExpensive
import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.model.ShardState
import io.reedmast.wire.MachineType

/** Decides which on-demand machines cost too much for jobs that may use spot machines. */
internal class OnDemandPricePolicy(private val shardState: ShardState) {
    /**
     * Whether the machine costs too much for the job. Machines that run services are paid for anyway, so they are
     * never overpriced.
     */
    fun isOverpriced(job: Job, machine: Machine): Boolean {
        if (!job.spec.spot || machine.record.spot || machine.runsServices) return false
        return machine.machineType?.let { isOverpriced(job, it) } ?: false
    }

    private fun isOverpriced(job: Job, machineType: MachineType): Boolean =
        job.expensiveTypes.getOrPut(machineType.label) {
            val spec = job.spec
            isTooExpensive(machineType, shardState.machineTypes, spec.cpus, spec.gpus, spec.memoryGb)
        }
}

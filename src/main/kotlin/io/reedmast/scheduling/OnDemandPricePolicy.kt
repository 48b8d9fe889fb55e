package io.reedmast.scheduling

import io.reedmast.autoscaling.isTooExpensive
import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.model.ShardState
import io.reedmast.wire.MachineType

/** Which ordinary machines cost too much for work that may use spot machines. */
internal class OnDemandPricePolicy(private val shardState: ShardState) {
    /** Machines that services keep in use are paid for anyway, so none of them is overpriced. */
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

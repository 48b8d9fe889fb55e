package io.reedmast.placement

import io.reedmast.model.Machine
import io.reedmast.wire.JobSpec
import io.reedmast.wire.MachineType

/**
 * Seconds until the task could run, and what else speaks against the machine, in the same unit: lower is better.
 *
 * Services stay for long and keep their machines in use, so they gather on few and cheap ones; other work fills up the
 * machines that services keep anyway, then spot machines, and leaves ordinary machines to become empty.
 */
internal fun score(spec: JobSpec, machine: Machine): Double {
    val machineType = machine.machineType ?: return Double.MAX_VALUE
    return imageFetchS(spec, machine, machineType) +
        unusedCpusPenaltyS(machine, machineType) +
        pricePenaltyS(spec, machine, machineType) +
        newServiceMachinePenaltyS(spec, machine)
}

private fun imageFetchS(spec: JobSpec, machine: Machine, machineType: MachineType): Double =
    if (spec.image in machine.images) 0.0 else spec.imageGb / machineType.fetchGbPerS

private fun unusedCpusPenaltyS(machine: Machine, machineType: MachineType): Double =
    EMPTY_MACHINE_PENALTY_S * machine.freeCpus / maxOf(machineType.cpus, MIN_CPUS)

private fun pricePenaltyS(spec: JobSpec, machine: Machine, machineType: MachineType): Double {
    if (spec.spot && (machine.runsServices || machine.record.spot)) return 0.0
    return PRICE_PENALTY_S * machine.hourlyPrice / maxOf(machineType.cpus, MIN_CPUS)
}

private fun newServiceMachinePenaltyS(spec: JobSpec, machine: Machine): Double =
    if (spec.isService && !machine.runsServices) NEW_SERVICE_MACHINE_PENALTY_S else 0.0

/** Of a machine that is entirely unused; of others in proportion. */
private const val EMPTY_MACHINE_PENALTY_S = 1.0

/** Of the first service on a machine. */
private const val NEW_SERVICE_MACHINE_PENALTY_S = 8.0

/** An hour's price of a CPU, as seconds of delay that are worth it. */
private const val PRICE_PENALTY_S = 30.0

/** Keeps the division defined for a machine type without CPUs. */
private const val MIN_CPUS = 1e-3

package io.reedmast.placement

import io.reedmast.model.Machine
import io.reedmast.wire.JobSpec
import io.reedmast.wire.MachineType

/**
 * The cost of placing the task on the machine; lower is better. It is the time in seconds until the task could run,
 * plus penalties in the same unit for other disadvantages of the machine.
 *
 * Services run for long and keep their machines in use, so they are concentrated on few and cheap machines. Other work
 * fills up first the machines that services keep in use anyway, then spot machines, so that on-demand machines can
 * become empty.
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

/** The penalty of an entirely unused machine; that of others is in proportion to their unused CPUs. */
private const val EMPTY_MACHINE_PENALTY_S = 1.0

/** The penalty for placing the first service on a machine. */
private const val NEW_SERVICE_MACHINE_PENALTY_S = 8.0

/** The delay, in seconds, that is worth accepting to save one unit of the hourly price per CPU. */
private const val PRICE_PENALTY_S = 30.0

/** Avoids a division by zero for a machine type without CPUs. */
private const val MIN_CPUS = 1e-3

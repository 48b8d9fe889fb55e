package io.reedmast.placement

import io.reedmast.model.Machine

/** Whether the task may start on the machine: every one of these conditions must hold. */
internal fun passesAllFilters(request: TaskRequest, machine: Machine): Boolean =
    machineFilters.all { passes -> passes(request, machine) }

private val machineFilters: List<(TaskRequest, Machine) -> Boolean> = listOf(
    ::hasFreeResources,
    ::isOfEligibleKind,
    ::isAffordable,
    ::leavesServiceHeadroom,
    ::hasNotFailedOnMachine,
    ::isInAllowedZone,
)

internal fun hasFreeResources(request: TaskRequest, machine: Machine): Boolean =
    machine.fits(request.job.spec.cpus, request.job.spec.gpus, request.job.spec.memoryGb)

internal fun isOfEligibleKind(request: TaskRequest, machine: Machine): Boolean =
    isEligible(request.job.spec, machine.record)

/** Work that may use spot machines keeps an overpriced ordinary one from becoming empty only if it is late. */
internal fun isAffordable(request: TaskRequest, machine: Machine): Boolean =
    request.urgency.ignoresCostAndHeadroom || !request.isOverpriced(machine)

/** Work other than services leaves headroom on machines with services, unless it is late. */
internal fun leavesServiceHeadroom(request: TaskRequest, machine: Machine): Boolean =
    request.job.spec.isService || request.urgency.ignoresCostAndHeadroom || !machine.isServiceHome ||
        request.serviceHeadroom.canAllocate(request.job.spec.cpus)

/** A job does not go back to where it failed, unless it is starving. */
internal fun hasNotFailedOnMachine(request: TaskRequest, machine: Machine): Boolean =
    request.urgency.ignoresFailuresAndReservations || machine !in request.job.failedOn

internal fun isInAllowedZone(request: TaskRequest, machine: Machine): Boolean =
    satisfiesZoneRules(request.job, machine.record.zone)

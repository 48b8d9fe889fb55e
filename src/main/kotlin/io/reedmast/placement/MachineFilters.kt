package io.reedmast.placement

import io.reedmast.model.Machine

/** Whether the task may start on the machine, which requires that the machine passes every filter. */
internal fun passesAllFilters(request: TaskRequest, machine: Machine): Boolean =
    machineFilters.all { passes -> passes(request, machine) }

private val machineFilters: List<(TaskRequest, Machine) -> Boolean> = listOf(
    ::hasFreeResources,
    ::hasReportRoom,
    ::isOfEligibleKind,
    ::isAffordable,
    ::leavesServiceHeadroom,
    ::hasNotFailedOnMachine,
    ::isInAllowedZone,
)

internal fun hasFreeResources(request: TaskRequest, machine: Machine): Boolean =
    machine.fits(request.job.spec.cpus, request.job.spec.gpus, request.job.spec.memoryGb)

/** The worker's status, which lists all tasks on the machine, is limited in size (PROTOCOL, POST /checkin). */
internal fun hasReportRoom(request: TaskRequest, machine: Machine): Boolean = machine.hasReportRoom(request.job)

internal fun isOfEligibleKind(request: TaskRequest, machine: Machine): Boolean =
    isEligible(request.job.spec, machine.record)

/**
 * A job that may use spot machines is placed on an overpriced on-demand machine, and so keeps it from becoming empty,
 * only if the job is late or starving.
 */
internal fun isAffordable(request: TaskRequest, machine: Machine): Boolean =
    request.urgency.ignoresCostAndHeadroom || !request.isOverpriced(machine)

/** Jobs other than services leave headroom on the on-demand machines with services, unless late or starving. */
internal fun leavesServiceHeadroom(request: TaskRequest, machine: Machine): Boolean =
    request.job.spec.isService || request.urgency.ignoresCostAndHeadroom || !machine.isPreferredForServices ||
        request.serviceHeadroom.canAllocate(request.job.spec.cpus)

/** A job is not placed again on a machine where it failed, unless the job is starving. */
internal fun hasNotFailedOnMachine(request: TaskRequest, machine: Machine): Boolean =
    request.urgency.ignoresFailuresAndReservations || machine !in request.job.failedOn

internal fun isInAllowedZone(request: TaskRequest, machine: Machine): Boolean =
    satisfiesZoneRules(request.job, machine.record.zone)

package io.reedmast.scheduling

import io.reedmast.gangs.GangReservations
import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.model.ShardState
import io.reedmast.placement.TaskRequest
import io.reedmast.placement.Urgency
import io.reedmast.placement.packGang
import io.reedmast.placement.selectMachine

/** Places the next task of a job, or all tasks of a gang, if there is a machine for each. */
internal class JobPlacer(
    private val shardState: ShardState,
    private val reservations: GangReservations,
    private val binder: TaskBinder,
) {
    private val prices = OnDemandPricePolicy(shardState)

    /**
     * Places the job's next task, or the whole gang. True if something was placed and the job may have another task to
     * place.
     */
    fun placeNext(job: Job, pass: SchedulingPass): Boolean {
        if (job.pendingCount <= 0 || shardState.quota.remainingTasks(job) < 1) return false
        if (!shardState.placementLimits.allows(job)) {
            pass.jobsHeldBack.add(job)
            return false
        }
        val isPlaced = if (job.spec.isGang) placeGang(job, pass) else placeTask(job, pass)
        if (isPlaced) pass.recordPlaced(job)
        return isPlaced
    }

    private fun placeTask(job: Job, pass: SchedulingPass): Boolean {
        val task = job.nextPending()
        val machine = if (task < 0) null else findMachine(job, pass)
        if (machine != null) binder.bind(job, task, machine, pass)
        return machine != null
    }

    private fun findMachine(job: Job, pass: SchedulingPass): Machine? {
        val urgency = urgencyOf(job)
        val shape = TaskShape.of(job, urgency)
        if (shape in pass.shapesWithoutMachine) return null
        val request = TaskRequest(job, urgency, pass.serviceHeadroom) { prices.isOverpriced(job, it) }
        val machine = selectMachine(request, machinesAvailableTo(job, urgency, pass.machines))
        if (machine == null && shape != null && !isLimitedBySharing(job, pass)) pass.shapesWithoutMachine.add(shape)
        return machine
    }

    /** Whether the job, unlike others with tasks of the same shape, has its share of what workers may report. */
    private fun isLimitedBySharing(job: Job, pass: SchedulingPass) =
        job.placedCount > 0 && pass.machines.any { !it.hasReportRoom(job) }

    /** The machines that the job may use. Reservations for gangs apply neither to services nor to starving jobs. */
    private fun machinesAvailableTo(job: Job, urgency: Urgency, machines: List<Machine>): List<Machine> {
        val ignoresReservations = job.spec.isService || urgency.ignoresFailuresAndReservations || reservations.isEmpty
        return if (ignoresReservations) machines else machines.filter { !reservations.isReservedForOther(job, it) }
    }

    /** Places all tasks of a gang, under one attempt number, or none. */
    private fun placeGang(job: Job, pass: SchedulingPass): Boolean {
        if (job.placedCount > 0 || !shardState.allowsWholeGang(job)) return false
        val urgency = urgencyOf(job)
        val assignment = packGang(job, pass.machines) { mayUseForGang(job, it, urgency) } ?: return false
        binder.bindGang(job, assignment, pass)
        return true
    }

    private fun mayUseForGang(job: Job, machine: Machine, urgency: Urgency): Boolean {
        val isAvailable = urgency.ignoresFailuresAndReservations ||
            (machine !in job.failedOn && !reservations.isReservedForOther(job, machine))
        return isAvailable && (urgency.ignoresCostAndHeadroom || !prices.isOverpriced(job, machine))
    }

    private fun urgencyOf(job: Job): Urgency = when {
        shardState.urgency.isStarving(job) -> Urgency.STARVING
        shardState.urgency.isPastDeadline(job) -> Urgency.LATE
        else -> Urgency.NORMAL
    }
}

/** Whether the team's limit allows all tasks of the gang. */
internal fun ShardState.allowsWholeGang(job: Job): Boolean = quota.remainingTasks(job) >= job.spec.taskCount

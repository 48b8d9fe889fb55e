package io.reedmast.scheduling

import io.reedmast.model.FencingToken
import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.model.Placement
import io.reedmast.model.ShardState
import io.reedmast.placement.GangAssignment
import org.slf4j.LoggerFactory

/** Records the decisions of a pass as placements, under attempt numbers that no other owner uses. */
internal class TaskBinder(private val shardState: ShardState, private val protection: PreemptionProtection) {
    private val log = LoggerFactory.getLogger("shard")
    private var attempts = 0L

    /** Places one task under an attempt number of its own. */
    fun bind(job: Job, task: Int, machine: Machine, pass: SchedulingPass) =
        place(Placement(job, task, nextAttempt(), machine, pass.nowMs), pass)

    /** Places all tasks of a gang under one attempt number. */
    fun bindGang(job: Job, assignment: GangAssignment, pass: SchedulingPass) {
        val attempt = nextAttempt()
        var task = 0
        for ((machine, taskCount) in assignment.tasksByMachine) {
            repeat(taskCount) { place(Placement(job, task++, attempt, machine, pass.nowMs), pass) }
        }
    }

    private fun place(placement: Placement, pass: SchedulingPass) {
        val job = placement.job
        if (shardState.urgency.isUnderserved(job)) protection.protect(placement, pass.nowMs)
        if (placement.machine.isPreferredForServices) pass.serviceHeadroom.allocate(job.spec.cpus)
        shardState.place(placement)
        shardState.markDirty(job.chunkOf(placement.task))
        log.debug("task {} attempt {}: placed on {}", placement.id, placement.attempt, placement.machine.name)
    }

    /** The count of the shard's acquisitions forms the upper bits, so attempt numbers increase from owner to owner. */
    private fun nextAttempt(): Long = (FencingToken.acquisitionCount(shardState.token) shl ATTEMPT_BITS) + ++attempts

    private companion object {
        const val ATTEMPT_BITS = 22
    }
}

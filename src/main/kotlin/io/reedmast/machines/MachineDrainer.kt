package io.reedmast.machines

import io.reedmast.autoscaling.ScaleInPolicy
import io.reedmast.commands.CommandDispatcher
import io.reedmast.model.Machine
import io.reedmast.model.Placement
import io.reedmast.model.StopReason

/** Stops in time what is on a machine that is to go (PROTOCOL, Preemption: draining a machine). */
internal class MachineDrainer(private val dispatcher: CommandDispatcher) {
    /** Every task fails on the machine: all that is there is stopped. */
    fun drainUnhealthy(machine: Machine) = stopAll(machine.placements.values.toList())

    /**
     * What soon ends on a machine that is to move to another shard is waited for; for the rest, the shard that gets it
     * would wait too long.
     */
    fun drainForTransfer(machine: Machine, now: Long) {
        // Marked as idle, and given work before the mark was known here: that is not stopped a moment after it was
        // placed.
        if (machine.placements.values.any { it.createdAt > machine.markedForTransferAt - JUST_PLACED_MS }) return
        stopAll(machine.placements.values.filter { !endsSoon(it, now) })
    }

    /** Ends by its estimate within seconds, and is not past the estimate by much: then it says nothing any more. */
    private fun endsSoon(placement: Placement, now: Long): Boolean {
        val spec = placement.job.spec
        if (spec.isService || !placement.running) return false
        return endsWithin(placement, ScaleInPolicy.ENDS_SOON_S, now) &&
            elapsedS(placement, now) < spec.estimateS + ScaleInPolicy.ENDS_SOON_S
    }

    /** The cloud takes the machine back at [noticeUntil]: each task is stopped when waiting longer would lose more. */
    fun drainForNotice(machine: Machine, noticeUntil: Long, now: Long) {
        val remainingS = (noticeUntil - now) / MS_PER_S
        stopAll(machine.placements.values.filter { it.stopReason == null && isStopDue(it, remainingS, now) })
    }

    private fun isStopDue(placement: Placement, remainingS: Double, now: Long): Boolean {
        val spec = placement.job.spec
        return when {
            spec.isService || !placement.running -> true
            // What can save runs on until it just has the time for that.
            spec.resumable -> remainingS < spec.saveS + SAVE_SLACK_S
            else -> remainingS < 0.0 || !endsWithin(placement, remainingS - END_SLACK_S, now)
        }
    }

    /** Whether the task, by its estimate, ends in less than [seconds]. */
    private fun endsWithin(placement: Placement, seconds: Double, now: Long) =
        placement.job.spec.estimateS - elapsedS(placement, now) < seconds

    private fun stopAll(placements: List<Placement>) = placements.forEach { dispatcher.stop(it, StopReason.DRAINED) }

    private fun elapsedS(placement: Placement, now: Long) = (now - placement.runningSince) / MS_PER_S

    private companion object {
        const val MS_PER_S = 1000.0
        const val JUST_PLACED_MS = 6_000L

        /** Added to the time that a task takes to save. */
        const val SAVE_SLACK_S = 3.0

        /** By how much a task that cannot save must end before the cloud takes the machine back. */
        const val END_SLACK_S = 1.0
    }
}

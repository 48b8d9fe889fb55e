package io.reedmast.machines

import io.reedmast.autoscaling.ScaleInPolicy
import io.reedmast.commands.CommandDispatcher
import io.reedmast.model.Machine
import io.reedmast.model.Placement
import io.reedmast.model.StopReason

/** Stops the tasks on a machine that is to leave the shard, each in time (PROTOCOL, Preemption: draining a machine). */
internal class MachineDrainer(private val dispatcher: CommandDispatcher) {
    /** Stops all tasks on a machine on which every task fails. */
    fun drainUnhealthy(machine: Machine) = stopAll(machine.placements.values.toList())

    /**
     * Stops the tasks on a machine that is to move to another shard, except those that end soon, which are waited for.
     * For the others, the shard that gets the machine would have to wait too long.
     */
    fun drainForTransfer(machine: Machine, now: Long) {
        // The machine was marked for transfer because it was idle, and got work before the mark was known here: that
        // work is not stopped a moment after it was placed.
        if (machine.placements.values.any { it.createdAt > machine.markedForTransferAt - RECENTLY_PLACED_MS }) return
        stopAll(machine.placements.values.filter { !endsSoon(it, now) })
    }

    /**
     * Whether the task ends within seconds by its estimate. Once it has run past the estimate by as many seconds, the
     * estimate no longer says anything.
     */
    private fun endsSoon(placement: Placement, now: Long): Boolean {
        val spec = placement.job.spec
        if (spec.isService || !placement.running) return false
        return endsWithin(placement, ScaleInPolicy.ENDS_SOON_S, now) &&
            elapsedS(placement, now) < spec.estimateS + ScaleInPolicy.ENDS_SOON_S
    }

    /** Drains a machine that the cloud reclaims at [reclaimAt]: stops each task once waiting longer would lose more. */
    fun drainForReclaim(machine: Machine, reclaimAt: Long, now: Long) {
        val remainingS = (reclaimAt - now) / MS_PER_S
        stopAll(machine.placements.values.filter { it.stopReason == null && isStopDue(it, remainingS, now) })
    }

    private fun isStopDue(placement: Placement, remainingS: Double, now: Long): Boolean {
        val spec = placement.job.spec
        return when {
            spec.isService || !placement.running -> true
            // A task that can save its progress runs on until just enough time for that is left.
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
        const val RECENTLY_PLACED_MS = 6_000L

        /** Margin added to the time that a task takes to save. */
        const val SAVE_SLACK_S = 3.0

        /** How long before the cloud reclaims the machine a task that cannot save must end to be left running. */
        const val END_SLACK_S = 1.0
    }
}

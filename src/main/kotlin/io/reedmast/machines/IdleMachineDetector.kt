package io.reedmast.machines

import io.reedmast.autoscaling.ScaleInPolicy
import io.reedmast.model.Machine
import io.reedmast.model.ShardState

/** Finds machines that have been empty for so long that they are returned. */
internal class IdleMachineDetector(private val shardState: ShardState, private val scaleInPolicy: ScaleInPolicy) {
    /**
     * Whether [machine] is idle and not part of the [headroom] for services to come. [observationGapUntil] is when this
     * controller last was unable to decide.
     */
    fun isIdle(machine: Machine, headroom: ScaleInPolicy.Headroom, observationGapUntil: Long, now: Long): Boolean {
        if (machine.placements.isNotEmpty() || !machine.isStateKnown) return false
        // A machine that has just booted has been empty for all of its boot: it was returned before anything could be
        // placed.
        if (now - machine.stateKnownSince < JUST_UP_MS) return false
        val delayMs = scaleInPolicy.scaleInDelayMs(machine)
        // While this controller heard nothing from the store, nothing could be placed there.
        val emptySince = maxOf(machine.emptySince, observationGapUntil)
        return now - emptySince > delayMs && now - shardState.activeAt > delayMs && !headroom.needs(machine)
    }

    private companion object {
        const val JUST_UP_MS = 2_000L
    }
}

package io.reedmast.machines

import io.reedmast.autoscaling.ScaleInPolicy
import io.reedmast.model.Machine
import io.reedmast.model.ShardState

/** Detects machines that have been empty for long enough to be returned. */
internal class IdleMachineDetector(private val shardState: ShardState, private val scaleInPolicy: ScaleInPolicy) {
    /**
     * Whether [machine] has been empty for long enough and is not needed as [headroom] for services that are still to
     * arrive. [observationGapUntil] is the last time at which this controller was unable to make decisions.
     */
    fun isIdle(machine: Machine, headroom: ScaleInPolicy.Headroom, observationGapUntil: Long, now: Long): Boolean {
        if (machine.placements.isNotEmpty() || !machine.isStateKnown) return false
        // A machine that has just come up has been empty for its whole boot; without this check it was returned before
        // anything could be placed on it.
        if (now - machine.stateKnownSince < MIN_UP_MS) return false
        val delayMs = scaleInPolicy.scaleInDelayMs(machine)
        // While the store did not answer this controller, nothing could be placed there.
        val emptySince = maxOf(machine.emptySince, observationGapUntil)
        return now - emptySince > delayMs && now - shardState.activeAt > delayMs && !headroom.needs(machine)
    }

    private companion object {
        const val MIN_UP_MS = 2_000L
    }
}

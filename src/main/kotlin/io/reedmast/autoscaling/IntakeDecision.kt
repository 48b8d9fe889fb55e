package io.reedmast.autoscaling

import io.reedmast.settings.ShardId

/** The decision on a machine that was offered to [MachineIntake]. */
internal sealed interface IntakeDecision {
    /** The machine will be assigned to the shard that it was offered for. */
    data object Accepted : IntakeDecision

    /** The machine already belongs to [shard], or is being assigned to it, and that stays so. */
    data class MetElsewhere(val shard: ShardId) : IntakeDecision

    /** The machine is being returned, or recently left all shards; it is not assigned to any. */
    data object Leaving : IntakeDecision

    /** This controller does not lead; the next leader finds the machine by its heartbeats. */
    data object NotLeading : IntakeDecision
}

package io.reedmast.autoscaling

import io.reedmast.settings.ShardId

/** What becomes of a machine that is offered to [MachineIntake]. */
internal sealed interface IntakeDecision {
    /** It is to come to the shard that was named. */
    data object Accepted : IntakeDecision

    /** It belongs to [shard] already, or is on its way there, and stays so. */
    data class MetElsewhere(val shard: ShardId) : IntakeDecision

    /** It is being returned, or has left all shards lately: it comes to none. */
    data object Leaving : IntakeDecision

    /** This controller does not lead: the next leader finds the machine by its heartbeats. */
    data object NotLeading : IntakeDecision
}

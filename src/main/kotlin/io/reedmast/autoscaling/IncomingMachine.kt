package io.reedmast.autoscaling

import io.reedmast.model.MachineRecord
import io.reedmast.settings.ShardId

/** How the leader has learned of a machine. */
internal enum class IntakeSource {
    /** The cloud's answer to a request of this leader's. */
    RENTAL,

    /** The worker's heartbeat: the machine was rented by an earlier leader, or its rental is not answered yet. */
    HEARTBEAT,
}

/** A machine that belongs to no shard yet, with the one shard that it is to come to. */
internal class IncomingMachine(
    var record: MachineRecord,
    var shard: ShardId,
    var source: IntakeSource,
    /** The highest fencing token that its worker has seen; 0 if it has seen none. */
    var seenToken: Long,
) {
    var stage = IntakeStage.WAITING
        private set

    /** When the outcome of its last write became known, in milliseconds. */
    var outcomeAt = 0L
        private set

    val name: String get() = record.name

    /** Moves on to the stage that follows after [event], at the time [now]. */
    fun onEvent(event: IntakeEvent, now: Long) {
        stage = stage.after(event)
        outcomeAt = now
    }
}

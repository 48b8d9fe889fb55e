package io.reedmast.autoscaling

import io.reedmast.model.MachineRecord
import io.reedmast.settings.ShardId

/** How the leader learned of a machine. */
internal enum class IntakeSource {
    /** The cloud's answer to a provisioning request of this leader. */
    RENTAL,

    /** The worker's heartbeat: an earlier leader rented the machine, or its rental has not been answered yet. */
    HEARTBEAT,
}

/** A machine that belongs to no shard yet, with the one shard that it is to be assigned to. */
internal class IncomingMachine(
    var record: MachineRecord,
    var shard: ShardId,
    var source: IntakeSource,
    /** The highest fencing token that its worker has seen; 0 if it has seen none. */
    var seenToken: Long,
) {
    var stage = IntakeStage.WAITING
        private set

    /** When the outcome of its last write became known, in milliseconds; set by every event. */
    var outcomeAt = 0L
        private set

    val name: String get() = record.name

    /** Moves to the stage that follows [event], which occurs at [now]. */
    fun onEvent(event: IntakeEvent, now: Long) {
        stage = stage.after(event)
        outcomeAt = now
    }
}

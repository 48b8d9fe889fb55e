package io.reedmast.autoscaling

/** An event in the assignment of a machine to a shard. */
internal enum class IntakeEvent {
    /** A write that adds the machine to its destination is sent. */
    WRITE_SENT,

    /** That write was not sent by this controller, or had no room for the machine. */
    WRITE_NOT_SENT,

    /** That write is stored. */
    WRITE_APPLIED,

    /** That write was not applied, or was applied and its record has been replaced since. */
    WRITE_NOT_CONFIRMED,

    /** Everything stored up to the last write's outcome is known here, and no record contains the machine. */
    OBSERVED,

    /** A record of a shard contains the machine. */
    RECORDED,
}

/** How far the assignment of a machine to a shard has got. */
internal enum class IntakeStage {
    /** The machine has a destination and no write has been sent: a rental may replace one chosen for a heartbeat. */
    WAITING,

    /** A write is in flight: the destination stays until its outcome is certain. */
    STORING,

    /**
     * A write has failed according to its answer, but may have been applied. The destination stays until the watch has
     * caught up with it.
     */
    UNCERTAIN,

    /** A record of a shard contains the machine. */
    STORED,
    ;

    /** The stage after [event]; throws [IllegalStateException] if the event cannot occur in this stage. */
    fun after(event: IntakeEvent): IntakeStage = when (this to event) {
        WAITING to IntakeEvent.WRITE_SENT -> STORING
        WAITING to IntakeEvent.RECORDED -> STORED
        STORING to IntakeEvent.WRITE_NOT_SENT -> WAITING
        STORING to IntakeEvent.WRITE_APPLIED -> STORED
        STORING to IntakeEvent.WRITE_NOT_CONFIRMED -> UNCERTAIN
        UNCERTAIN to IntakeEvent.OBSERVED -> WAITING
        UNCERTAIN to IntakeEvent.RECORDED -> STORED
        else -> error("intake event $event cannot occur in stage $this")
    }
}

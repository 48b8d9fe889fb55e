package io.reedmast.autoscaling

/** An event in the assignment of a machine to a shard. */
internal enum class IntakeEvent {
    /** A write that adds the machine to its destination shard is sent. */
    WRITE_SENT,

    /**
     * This controller did not send the write that adds the machine, or sent one that had no room for the machine.
     */
    WRITE_NOT_SENT,

    /** The write that adds the machine is stored. */
    WRITE_APPLIED,

    /**
     * The write that adds the machine was not applied, or was applied and the record that it stored has been replaced
     * since.
     */
    WRITE_NOT_CONFIRMED,

    /**
     * This controller knows everything that was stored up to the outcome of the last write that adds the machine, and
     * no record of a shard contains the machine.
     */
    OBSERVED,

    /** A record of a shard contains the machine. */
    RECORDED,
}

/** How far the assignment of a machine to a shard has got. */
internal enum class IntakeStage {
    /**
     * The machine has a destination shard, and no write that adds it there is in flight or in doubt. A destination that
     * was chosen for a heartbeat may still be replaced by that of a rental.
     */
    WAITING,

    /**
     * A write that adds the machine is in flight. The machine keeps its destination until the outcome of the write is
     * certain.
     */
    STORING,

    /**
     * According to the store's answer, the write that adds the machine failed, but it may have been applied. The
     * machine keeps its destination until the watch has delivered everything that was stored up to that answer.
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

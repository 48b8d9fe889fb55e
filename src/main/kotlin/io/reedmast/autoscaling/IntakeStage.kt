package io.reedmast.autoscaling

/** What happens to a machine on its way into a shard. */
internal enum class IntakeEvent {
    /** A write that adds it to its destination is sent. */
    WRITE_SENT,

    /** That write did not leave this controller, or had no room for the machine. */
    WRITE_NOT_SENT,

    /** That write is stored. */
    WRITE_APPLIED,

    /** That write was not applied, or was applied and its record replaced since. */
    WRITE_NOT_CONFIRMED,

    /** All that was stored up to the last write's outcome is known here, and no record names the machine. */
    OBSERVED,

    /** A record of a shard names the machine. */
    RECORDED,
}

/** How far a machine that belongs to no shard is on its way into one. */
internal enum class IntakeStage {
    /** It has a destination, and nothing has been sent: whoever knows better may choose another one. */
    WAITING,

    /** A write is on its way: the destination stays until its outcome is certain. */
    STORING,

    /** A write has failed as far as its answer says. The destination stays until the watch has caught up with it. */
    UNCERTAIN,

    /** A record of a shard names it. */
    STORED,
    ;

    /** The stage that follows after [event]; throws [IllegalStateException] if it cannot occur in this one. */
    fun after(event: IntakeEvent): IntakeStage = when (this to event) {
        WAITING to IntakeEvent.WRITE_SENT -> STORING
        WAITING to IntakeEvent.RECORDED -> STORED
        STORING to IntakeEvent.WRITE_NOT_SENT -> WAITING
        STORING to IntakeEvent.WRITE_APPLIED -> STORED
        STORING to IntakeEvent.WRITE_NOT_CONFIRMED -> UNCERTAIN
        UNCERTAIN to IntakeEvent.OBSERVED -> WAITING
        UNCERTAIN to IntakeEvent.RECORDED -> STORED
        else -> error("$event cannot follow $this")
    }
}

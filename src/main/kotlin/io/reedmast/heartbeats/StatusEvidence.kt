package io.reedmast.heartbeats

/** What a worker's status proves to the owner of its shard, and with that how much of it counts. */
internal enum class StatusEvidence {
    /** A newer status is known already. Nothing of this one counts. */
    OUTDATED,

    /** The worker has seen a token above this owner's range: it may be under another owner's commands. */
    HIGHER_TOKEN_SEEN,

    /**
     * The worker has not seen this owner's token yet. The status may be a late copy from before this controller owned
     * the shard: it proves neither life nor what is on the machine.
     */
    OWN_TOKEN_NOT_SEEN,

    /** The newest status, made under this owner's token: it says what is on the machine. */
    CURRENT,
}

package io.reedmast.heartbeats

/** What a worker's status proves to the owner of its shard, and so how much of the status is applied. */
internal enum class StatusEvidence {
    /** A newer status is known already. Nothing of this one is applied. */
    OUTDATED,

    /** The worker has seen a token above this owner's range, so another owner may be commanding it. */
    HIGHER_TOKEN_SEEN,

    /**
     * The worker has not seen this owner's token yet. The status may be a delayed copy from before this controller
     * owned the shard, so it proves neither that the worker is alive nor what is on the machine.
     */
    OWN_TOKEN_NOT_SEEN,

    /**
     * The newest status, made under this owner's token, or under that of another shard's owner which answers the
     * worker: it shows what is on the machine.
     */
    CURRENT,
}

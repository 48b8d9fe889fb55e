package io.reedmast.heartbeats

/** What a worker's status proves to the owner of its shard, and so how much of the status is applied. */
enum class StatusEvidence(
    /** The words for the log. */
    val description: String,
) {
    /** The machine is not one of the shard's. Nothing of the status is applied. */
    UNKNOWN_MACHINE("machine unknown to the owner"),

    /** A newer status is known already. Nothing of this one is applied. */
    OUTDATED("newer status known"),

    /** The worker has seen a token above this owner's range, so another owner may be commanding it. */
    HIGHER_TOKEN_SEEN("higher token seen"),

    /**
     * The worker has not seen this owner's token yet. The status may be a delayed copy from before this controller
     * owned the shard, so it proves neither that the worker is alive nor what is on the machine.
     */
    OWN_TOKEN_NOT_SEEN("own token not seen"),

    /**
     * The newest status, made under this owner's token, or under that of another shard's owner which answers the
     * worker: it shows what is on the machine.
     */
    CURRENT("current status"),
}

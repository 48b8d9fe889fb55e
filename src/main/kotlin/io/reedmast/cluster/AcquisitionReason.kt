package io.reedmast.cluster

/** Why this controller acquires a shard. */
internal sealed interface AcquisitionReason {
    /** The shard has never had an owner. */
    data object Unowned : AcquisitionReason

    /**
     * This controller is the owner in the shard's record, but this process does not serve the shard: an earlier process
     * of this controller acquired it, or its state could not be restored.
     */
    data object OwnShardNotServed : AcquisitionReason

    /** The owner's membership key has been gone for [absentMs] milliseconds. */
    data class OwnerAbsent(val absentMs: Long) : AcquisitionReason

    /** The owner has asked the other controllers to acquire the shard. */
    data object FailoverRequested : AcquisitionReason

    /** This controller is the shard's preferred owner, and the present owner has other shards as well. */
    data object Failback : AcquisitionReason

    /** The [owner] is alive but does not answer the shard's workers, which report to this controller instead. */
    data class WorkersCannotReachOwner(val owner: String?) : AcquisitionReason

    /** A worker has seen a higher token than this controller's, which therefore needs a new token above it. */
    data object HigherTokenSeen : AcquisitionReason

    /** The shard's progress was read in parts that are too large for the reduced limits of the store. */
    data object OversizedRecords : AcquisitionReason
}

package io.reedmast.cluster

/** Why this controller acquires a shard. */
internal sealed interface AcquisitionReason {
    /** The shard has never had an owner. */
    data object Unowned : AcquisitionReason

    /** The record names this controller, but an earlier process of it was the owner. */
    data object OwnShardNotServed : AcquisitionReason

    /** The owner's membership key has been gone for [absentMs] milliseconds. */
    data class OwnerAbsent(val absentMs: Long) : AcquisitionReason

    /** The owner has asked the other controllers to acquire the shard. */
    data object FailoverRequested : AcquisitionReason

    /** The shard was assigned to this controller by its index, and another controller owns it together with others. */
    data object Failback : AcquisitionReason

    /** The owner is alive, but the shard's workers report to this controller because [owner] does not answer them. */
    data class WorkersCannotReachOwner(val owner: String?) : AcquisitionReason

    /** A worker has seen a higher token than that of this controller, which needs a higher one. */
    data object HigherTokenSeen : AcquisitionReason

    /** The shard's progress was read in parts that are too large for the reduced store limits. */
    data object OversizedRecords : AcquisitionReason
}

package io.reedmast.ports

/** The state of a lease of this controller after an attempt to renew it or to get a new one. */
sealed interface LeaseState {
    /** The lease is valid; [isNew] if this attempt created it. */
    data class Held(val lease: Long, val isNew: Boolean) : LeaseState

    /** The store has answered that the lease has expired. */
    data object Expired : LeaseState

    /** The store did not answer: the lease may or may not have been created or renewed. */
    data object Unknown : LeaseState
}

package io.reedmast.kvstore

/** What came of asking the store for a new lease. */
sealed interface LeaseGrant {
    /** The store has granted the lease with the id [lease]. */
    data class Granted(val lease: Long) : LeaseGrant

    /** No lease is known; one may have been granted, and then ends by itself. */
    data object Failed : LeaseGrant
}

/** What came of extending a lease. */
enum class LeaseExtension {
    /** The lease has its full time again. */
    EXTENDED,

    /** The lease has ended, and with it the keys that it held. */
    EXPIRED,

    /** Not known: the store did not answer, or refused to. */
    UNKNOWN,
}

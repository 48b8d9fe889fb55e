package io.reedmast.kvstore

/** The result of requesting a new lease from the store. */
sealed interface LeaseGrant {
    /** The store has granted the lease with the id [lease]. */
    data class Granted(val lease: Long) : LeaseGrant

    /** No lease is known; one may have been granted, and will then expire by itself. */
    data object Failed : LeaseGrant
}

/** The result of extending a lease. */
enum class LeaseExtension {
    /** The lease has its full duration again. */
    EXTENDED,

    /** The lease has expired, and the keys under it have been deleted. */
    EXPIRED,

    /** Not known: the store did not answer, or refused the request. */
    UNKNOWN,
}

package io.reedmast.ports

/** A lease of this controller after an attempt to renew it, or to get a new one. */
sealed interface LeaseState {
    data class Held(val lease: Long, val isNew: Boolean) : LeaseState

    data object Lost : LeaseState

    data object Unknown : LeaseState
}

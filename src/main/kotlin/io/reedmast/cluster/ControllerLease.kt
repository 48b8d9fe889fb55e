package io.reedmast.cluster

import io.reedmast.ports.Clock
import io.reedmast.ports.KeyValueStore
import io.reedmast.ports.LeaseState

/**
 * This controller's lease in the store, to which its membership key and, while it leads, the leader key are attached.
 */
internal class ControllerLease(
    private val clock: Clock,
    private val store: KeyValueStore,
    /** Called when the keys are no longer attached to a valid lease. */
    private val onReplaced: () -> Unit,
) {
    private var renewing = false
    private var renewalDueAt = 0L

    /** The lease's id; null while this controller has none. */
    var id: Long? = null
        private set

    /** Renews the lease, or requests a new one if there is none, when that is due. */
    fun renewIfDue() {
        val now = clock.now()
        if (renewing || now < renewalDueAt) return
        renewing = true
        renewalDueAt = now + LEASE_MS / RENEWALS_PER_LEASE
        store.extendLease(id, LEASE_MS) { state ->
            renewing = false
            applyState(state)
        }
    }

    private fun applyState(state: LeaseState) {
        when (state) {
            is LeaseState.Held -> {
                if (state.isNew) onReplaced()
                id = state.lease
            }

            LeaseState.Expired -> {
                id = null
                onReplaced()
                renewalDueAt = 0
            }

            LeaseState.Unknown -> Unit
        }
    }

    /**
     * Discards the lease with the id [refused], under which the store has refused a write, so that a new one is
     * requested.
     */
    fun discard(refused: Long) {
        if (id == refused) id = null
    }

    companion object {
        /** How long a controller counts as alive after the store last received a renewal from it. */
        const val LEASE_MS = 4_000L
        private const val RENEWALS_PER_LEASE = 4
    }
}

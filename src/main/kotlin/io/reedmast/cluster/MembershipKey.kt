package io.reedmast.cluster

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.ReadResult
import io.reedmast.kvstore.Write
import io.reedmast.ports.KeyValueStore
import io.reedmast.wire.Fields

/**
 * The key that shows the other controllers that this one is alive, and which versions it has; attached to its lease.
 */
internal class MembershipKey(
    label: String,
    private val store: KeyValueStore,
    private val lease: ControllerLease,
    /** The current fields of the key. */
    private val memberFields: () -> Fields,
    /** The precondition that no gate has moved without this process having read it. */
    private val gatesPrecondition: () -> Precondition,
) {
    private val path = Keys.member(label)
    private var publishing = false
    private var publishedFields: Fields? = null

    /** The id of the lease that the key is attached to; null if the key is gone or soon will be. */
    private var attachedLease: Long? = null

    /** Whether the key is attached to the lease with this id. */
    fun isAttachedTo(leaseId: Long): Boolean = attachedLease == leaseId

    /** Called when the key is gone, or soon will be, so that it is stored again. */
    fun onDetached() {
        attachedLease = null
    }

    /** Stores the key under the lease, unless it is already stored there with the current fields. */
    fun publish() {
        val leaseId = lease.id ?: return
        val fields = memberFields()
        if (publishing || (isAttachedTo(leaseId) && publishedFields == fields)) return
        publishing = true
        store.get(path) { result ->
            when (result) {
                is ReadResult.Found -> put(leaseId, fields, result.item.version)
                is ReadResult.Missing -> put(leaseId, fields, 0L)
                is ReadResult.Failed -> publishing = false
            }
        }
    }

    private fun put(leaseId: Long, fields: Fields, version: Long) {
        val preconditions = listOf(Precondition(path, version), gatesPrecondition())
        val writes = listOf(Write.Put(path, fields, leaseId))
        store.commit(
            CasTransaction(preconditions, writes) { outcome ->
                publishing = false
                when (outcome) {
                    is CommitOutcome.Applied -> {
                        attachedLease = leaseId
                        publishedFields = fields
                    }

                    is CommitOutcome.Conflict -> Unit

                    is CommitOutcome.Refused -> lease.discard(leaseId)
                }
            },
        )
    }
}

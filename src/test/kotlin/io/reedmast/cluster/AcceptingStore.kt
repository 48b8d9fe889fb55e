package io.reedmast.cluster

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.ListResult
import io.reedmast.kvstore.ReadResult
import io.reedmast.ports.KeyValueStore
import io.reedmast.ports.LeaseState
import io.reedmast.ports.ProcessControl

/** An empty store that applies each transaction immediately, with the next revision after [revision]. */
internal class AcceptingStore(var revision: Long) : KeyValueStore {
    /** All transactions, in the order of their commits. */
    val committed = ArrayList<CasTransaction>()
    override val isAvailable = true

    override fun commit(transaction: CasTransaction, refusable: Boolean): Boolean {
        committed.add(transaction)
        transaction.done(CommitOutcome.Applied(++revision))
        return true
    }

    override fun writePermitLevel() = 1.0

    override fun get(path: String, done: (ReadResult) -> Unit) = done(ReadResult.Missing)

    override fun list(prefix: String, done: (ListResult) -> Unit) = done(ListResult.Failed)

    override fun extendLease(lease: Long?, lifeMs: Long, done: (LeaseState) -> Unit) =
        done(LeaseState.Held(lease ?: 1L, isNew = lease == null))
}

/** Ignores every call. */
internal object NoOpProcessControl : ProcessControl {
    override fun shareLimits(aliveControllers: Int, leading: Boolean) = Unit

    override fun terminate(reason: String) = Unit

    override fun expectMachines(count: Int) = Unit
}

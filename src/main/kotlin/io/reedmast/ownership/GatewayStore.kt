package io.reedmast.ownership

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.ReadResult
import io.reedmast.kvstore.StoredItem
import io.reedmast.ports.Gateway
import io.reedmast.rollout.RolloutStore

/** The store as a controller reaches it, in the form that the rollout asks for. */
class GatewayStore(private val out: Gateway) : RolloutStore {
    override fun commit(change: CasTransaction) {
        out.commit(change)
    }

    override fun get(path: String, done: (ReadResult) -> Unit) = out.get(path, done)

    override fun list(prefix: String, done: (List<StoredItem>?) -> Unit) = out.list(prefix, done)

    override fun writePermitLevel(): Double = out.writePermitLevel()
}

package io.reedmast.cluster

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.ListResult
import io.reedmast.kvstore.ReadResult
import io.reedmast.ports.KeyValueStore
import io.reedmast.rollout.RolloutStore

/** Adapts a controller's [KeyValueStore] to the [RolloutStore] that the rollout uses. */
class RolloutStoreAdapter(private val store: KeyValueStore) : RolloutStore {
    override fun commit(change: CasTransaction) {
        store.commit(change)
    }

    override fun get(path: String, done: (ReadResult) -> Unit) = store.get(path, done)

    override fun list(prefix: String, done: (ListResult) -> Unit) = store.list(prefix, done)

    override fun writePermitLevel(): Double = store.writePermitLevel()
}

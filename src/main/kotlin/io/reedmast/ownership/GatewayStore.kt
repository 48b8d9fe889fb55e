package io.reedmast.ownership

import io.reedmast.ports.Gateway
import io.reedmast.rollout.RolloutStore
import io.reedmast.state.Change
import io.reedmast.state.Fetched
import io.reedmast.state.Item

/** The state service as a controller reaches it, in the form that the rollout asks for. */
class GatewayStore(private val out: Gateway) : RolloutStore {
    override fun commit(change: Change) {
        out.commit(change)
    }

    override fun get(path: String, done: (Fetched) -> Unit) = out.get(path, done)

    override fun list(prefix: String, done: (List<Item>?) -> Unit) = out.list(prefix, done)

    override fun writeFullness(): Double = out.writeFullness()
}

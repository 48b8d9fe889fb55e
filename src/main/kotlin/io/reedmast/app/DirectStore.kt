package io.reedmast.app

import io.reedmast.rollout.RolloutStore
import io.reedmast.settings.Settings
import io.reedmast.state.Change
import io.reedmast.state.Committer
import io.reedmast.state.Fetched
import io.reedmast.state.Item
import io.reedmast.state.LimitsInForce
import io.reedmast.state.Outcome
import io.reedmast.state.StateClient
import io.reedmast.state.TransactionIds
import io.reedmast.wire.Caller
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** The state service for a command that runs beside the controllers: each call answers before it returns. */
class DirectStore(settings: Settings, incarnation: String) : RolloutStore {
    private val limits = LimitsInForce(settings.stateLimits, settings.nextStateLimits)

    /** It takes a controller's part of the limits for the moment that it runs. */
    private val client = StateClient(settings.state, limits, settings.members.size, Caller(CONNECT_MS, READ_MS))
    private val committer = Committer(client, limits, MOST_QUEUED, TransactionIds(incarnation)) { change, outcome -> change.done(outcome) }

    init {
        NetworkGateway.startThread("commit", committer::run)
    }

    override fun commit(change: Change) {
        val answered = CompletableFuture<Outcome>()
        committer.offer(Change(change.guards, change.writes, change.writePriority) { answered.complete(it) }, refusable = false)
        val outcome = try {
            answered.get(PATIENCE_S, TimeUnit.SECONDS)
        } catch (e: TimeoutException) {
            Outcome.Refused("the state service has not answered within $PATIENCE_S s; the change may yet be made, see the status")
        }
        change.done(outcome)
    }

    override fun get(path: String, done: (Fetched) -> Unit) = done(client.get(path))

    override fun list(prefix: String, done: (List<Item>?) -> Unit) = done(client.list(prefix)?.first)

    override fun writeFullness(): Double = client.budget.fullness()

    private companion object {
        const val CONNECT_MS = 800
        const val READ_MS = 2_500
        const val MOST_QUEUED = 4
        const val PATIENCE_S = 30L
    }
}

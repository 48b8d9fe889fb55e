package io.reedmast.app

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.Committer
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.ListResult
import io.reedmast.kvstore.ReadResult
import io.reedmast.kvstore.StoreClient
import io.reedmast.kvstore.TransactionIds
import io.reedmast.rollout.RolloutStore
import io.reedmast.settings.Settings
import io.reedmast.wire.HttpCaller
import org.slf4j.LoggerFactory
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** The store for a command that runs beside the controllers: each call blocks until its result is delivered. */
class DirectStore(settings: Settings, incarnation: String) : RolloutStore {
    private val log = LoggerFactory.getLogger("store")
    private val limits = EffectiveLimits(settings.storeLimits, settings.nextStoreLimits)

    /** While the command runs, it uses as large a share of the store's limits as one controller. */
    private val client =
        StoreClient(settings.storeAddress, limits, settings.members.size, HttpCaller(CONNECT_MS, READ_MS))
    private val committer =
        Committer(client, limits, MAX_QUEUED_TRANSACTIONS, TransactionIds(incarnation)) { change, outcome ->
            change.done(outcome)
        }

    init {
        startThread("commit", committer::run)
    }

    override fun commit(change: CasTransaction) {
        val outcomeFuture = CompletableFuture<CommitOutcome>()
        committer.offer(
            CasTransaction(change.preconditions, change.writes, change.writePriority) {
                outcomeFuture.complete(it)
            },
            refusable = false,
        )
        val outcome = try {
            outcomeFuture.get(TIMEOUT_S, TimeUnit.SECONDS)
        } catch (e: TimeoutException) {
            log.debug("no outcome of a transaction within $TIMEOUT_S s", e)
            CommitOutcome.Refused(
                "the store has not answered within $TIMEOUT_S s; the change may yet be made, see the status",
            )
        }
        change.done(outcome)
    }

    override fun get(path: String, done: (ReadResult) -> Unit) = done(client.get(path))

    override fun list(prefix: String, done: (ListResult) -> Unit) = done(client.list(prefix))

    override fun writePermitLevel(): Double = client.writeLimiter.permitLevel()

    private companion object {
        const val CONNECT_MS = 800
        const val READ_MS = 2_500
        const val MAX_QUEUED_TRANSACTIONS = 4
        const val TIMEOUT_S = 30L
    }
}

package io.reedmast.kvstore

import org.slf4j.LoggerFactory
import java.util.concurrent.ThreadLocalRandom

/**
 * Sends transactions to the store, several together where they fit. Thread-safe.
 *
 * A transaction stays here until what became of it is certain, which [InDoubtResolution] finds out; this class does the
 * waiting and the I/O.
 *
 * @param maxQueued a refusable transaction is refused when so many of its priority wait.
 * @param deliver called on a committing thread with each transaction and its outcome.
 */
class Committer(
    private val client: StoreClient,
    private val limits: EffectiveLimits,
    maxQueued: Int,
    private val ids: TransactionIds,
    private val deliver: (CasTransaction, CommitOutcome) -> Unit,
) {
    private val log = LoggerFactory.getLogger("store")
    private val lock = Object()
    private val queue = CommitQueue(limits.target, client.writeLimiter, maxQueued, ::monotonicMs)

    @Volatile
    private var availableAtLastCommit = true

    /** False while the store does not take transactions: new submissions need not wait to find out. */
    val isStoreAvailable: Boolean get() = availableAtLastCommit

    /** False if the queue is full; only transactions asked for from outside may be [refusable]. */
    fun offer(transaction: CasTransaction, refusable: Boolean): Boolean {
        synchronized(lock) {
            if (!queue.offer(transaction, refusable)) return false
            lock.notify()
        }
        return true
    }

    /** The body of a committing thread, which runs until it is interrupted. */
    fun run() {
        while (!Thread.currentThread().isInterrupted) resolve(awaitBatch())
    }

    private fun awaitBatch(): List<CasTransaction> {
        synchronized(lock) {
            while (true) {
                when (val polled = queue.poll()) {
                    is CommitQueue.Polled.Batch -> return polled.transactions
                    is CommitQueue.Polled.Wait -> lock.wait(polled.forMs)
                    CommitQueue.Polled.Empty -> lock.wait()
                }
            }
        }
    }

    private fun resolve(batch: List<CasTransaction>) {
        val resolution = InDoubtResolution(batch, ids, ThreadLocalRandom.current()::nextDouble, deliver)
        while (true) {
            when (val step = resolution.nextStep()) {
                is ResolutionStep.Send -> {
                    Thread.sleep(step.pauseMs)
                    resolution.onReply(send(step.transaction))
                }

                is ResolutionStep.Read -> {
                    Thread.sleep(step.pauseMs)
                    resolution.onReadResult(client.get(step.path))
                }

                ResolutionStep.Done -> return
            }
        }
    }

    private fun send(storeTransaction: StoreTransaction): CommitReply {
        val reply = commitOrUnknown(storeTransaction)
        availableAtLastCommit = reply !is CommitReply.NotExecuted && reply !is CommitReply.Unknown
        if (reply is CommitReply.Malformed && limits.exceedsOnlyReduced(storeTransaction)) {
            log.info("store: its limits have been reduced, it refuses what it used to accept")
            limits.reduce()
        }
        // Sent again at once, it would only keep the limit exceeded.
        if (reply is CommitReply.RateLimited) client.writeLimiter.empty()
        return reply
    }

    private fun commitOrUnknown(storeTransaction: StoreTransaction): CommitReply = try {
        client.commit(storeTransaction)
    } catch (e: RuntimeException) {
        // What became of it is not known; with the thread gone, its transactions would never be resolved.
        log.error("store: a transaction failed in this process", e)
        CommitReply.Unknown
    }
}

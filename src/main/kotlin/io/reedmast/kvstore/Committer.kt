package io.reedmast.kvstore

import org.slf4j.LoggerFactory
import java.util.concurrent.ThreadLocalRandom

/**
 * Sends transactions to the store, several in one request where they fit together. Thread-safe.
 *
 * A transaction stays here until its outcome is certain. [InDoubtResolution] determines the outcome; this class does
 * the waiting and the I/O.
 *
 * @param maxQueued a refusable transaction is refused while this many of its priority are waiting.
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

    /** False while the store does not execute transactions; new submissions then need not wait to find that out. */
    val isStoreAvailable: Boolean get() = availableAtLastCommit

    /** Returns false if the queue is full; only transactions that users request may be [refusable]. */
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
            log.info("store: limits have been reduced; a transaction that was within the old limits was refused")
            limits.reduce()
        }
        // Sending the transaction again at once would only keep the limit exceeded.
        if (reply is CommitReply.RateLimited) client.writeLimiter.empty()
        return reply
    }

    private fun commitOrUnknown(storeTransaction: StoreTransaction): CommitReply = try {
        client.commit(storeTransaction)
    } catch (e: RuntimeException) {
        // The outcome is not known. If the exception ended this thread, its transactions would never be resolved.
        log.error("store: exception in this process while sending a transaction", e)
        CommitReply.Unknown
    }
}

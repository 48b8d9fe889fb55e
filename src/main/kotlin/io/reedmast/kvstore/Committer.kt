package io.reedmast.kvstore

import org.slf4j.LoggerFactory
import java.util.concurrent.ThreadLocalRandom

/**
 * Sends changes to the store, several in one transaction where they fit.
 *
 * A change stays here until what became of it is certain, which [InDoubtResolution] finds out; this class does the
 * waiting and the I/O.
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
    private val queue = CommitQueue(limits.target, client.writeLimiter, maxQueued) { System.nanoTime() / 1_000_000 }

    @Volatile
    private var lastAnswered = true

    /** False while the store does not take changes: new submissions need not wait to find out. */
    val answering: Boolean get() = lastAnswered

    /** False if the queue is full; only changes asked for from outside may be refused. */
    fun offer(change: CasTransaction, refusable: Boolean): Boolean {
        synchronized(lock) {
            if (!queue.offer(change, refusable)) return false
            lock.notify()
        }
        return true
    }

    /** The body of a committing thread. */
    fun run() {
        while (!Thread.currentThread().isInterrupted) resolve(takeBatch())
    }

    private fun takeBatch(): List<CasTransaction> {
        synchronized(lock) {
            while (true) {
                when (val polled = queue.poll()) {
                    is CommitQueue.Polled.Batch -> return polled.changes
                    is CommitQueue.Polled.Wait -> lock.wait(polled.forMs)
                    CommitQueue.Polled.Empty -> lock.wait()
                }
            }
        }
    }

    private fun resolve(batch: List<CasTransaction>) {
        val resolution = InDoubtResolution(batch, ids, ThreadLocalRandom.current()::nextDouble, deliver)
        while (true) {
            when (val step = resolution.next()) {
                is ResolutionStep.Send -> {
                    Thread.sleep(step.afterMs)
                    resolution.replied(send(step.transaction))
                }

                is ResolutionStep.Read -> {
                    Thread.sleep(step.afterMs)
                    resolution.read(client.get(step.path))
                }

                ResolutionStep.Done -> return
            }
        }
    }

    private fun send(transaction: StoreTransaction): CommitReply {
        val reply = try {
            client.commit(transaction)
        } catch (e: RuntimeException) {
            // What became of it is not known; with the thread gone, its changes would never be settled.
            log.error("store: a transaction failed in this process", e)
            CommitReply.Unknown
        }
        lastAnswered = reply !is CommitReply.NotExecuted && reply !is CommitReply.Unknown
        if (reply is CommitReply.Malformed && limits.exceedsOnlyReduced(transaction)) {
            log.info("store: its limits have been reduced, it refuses what it used to accept")
            limits.reduce()
        }
        // Sent again hot, it would only keep the limit exceeded.
        if (reply is CommitReply.RateLimited) client.writeLimiter.empty()
        return reply
    }
}

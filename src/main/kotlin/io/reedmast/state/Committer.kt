package io.reedmast.state

import org.slf4j.LoggerFactory
import java.util.concurrent.ThreadLocalRandom

/**
 * Sends changes to the state service, several in one transaction where they fit.
 *
 * A change stays here until what became of it is certain, which [Settlement] finds out; this class does the waiting and the I/O.
 */
class Committer(
    private val client: StateClient,
    private val limits: LimitsInForce,
    maxQueued: Int,
    private val ids: TransactionIds,
    private val deliver: (Change, Outcome) -> Unit,
) {
    private val log = LoggerFactory.getLogger("state")
    private val lock = Object()
    private val queue = CommitQueue(limits.target, client.budget, maxQueued) { System.nanoTime() / 1_000_000 }

    @Volatile
    private var lastAnswered = true

    /** False while the state service does not take changes: new submissions need not wait to find out. */
    val answering: Boolean get() = lastAnswered

    /** False if the queue is full; only changes asked for from outside may be refused. */
    fun offer(change: Change, refusable: Boolean): Boolean {
        synchronized(lock) {
            if (!queue.offer(change, refusable)) return false
            lock.notify()
        }
        return true
    }

    /** The body of a committing thread. */
    fun run() {
        while (!Thread.currentThread().isInterrupted) settle(takeBatch())
    }

    private fun takeBatch(): List<Change> {
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

    private fun settle(batch: List<Change>) {
        val settlement = Settlement(batch, ids, ThreadLocalRandom.current()::nextDouble, deliver)
        while (true) {
            when (val step = settlement.next()) {
                is Step.Send -> {
                    Thread.sleep(step.afterMs)
                    settlement.replied(send(step.transaction))
                }

                is Step.Read -> {
                    Thread.sleep(step.afterMs)
                    settlement.read(client.get(step.path))
                }

                Step.Done -> return
            }
        }
    }

    private fun send(transaction: Transaction): CommitReply {
        val reply = try {
            client.commit(transaction)
        } catch (e: RuntimeException) {
            // What became of it is not known; with the thread gone, its changes would never be settled.
            log.error("a transaction failed on this side", e)
            CommitReply.Unknown
        }
        lastAnswered = reply !is CommitReply.NotExecuted && reply !is CommitReply.Unknown
        if (reply is CommitReply.Bad && limits.onlyFormerlyAllowed(transaction)) {
            log.info("the state service refuses what it used to take: its limits have been lowered")
            limits.lower()
        }
        // Sent again hot, it would only keep the limit exceeded.
        if (reply is CommitReply.Limited) client.budget.empty()
        return reply
    }
}

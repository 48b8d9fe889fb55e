package io.reedmast.app

import org.slf4j.LoggerFactory
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit

/** Runs blocking calls on thread pools and delivers their results on [eventLoop]. */
internal class AsyncCalls(private val eventLoop: EventLoop) {
    private val log = LoggerFactory.getLogger("calls")

    /**
     * Runs [blockingCall] on [pool] and passes its result to [done] on the event loop. The call is not made, and [done]
     * gets [fallback], if the pool's queue is full or the call waits there for more than [maxWaitMs] milliseconds.
     *
     * A decision made seconds ago may be wrong by now: the process may have been suspended since and lost its shards to
     * other owners, or calls to hung machines may have occupied all threads. No guarantee depends on [maxWaitMs], but
     * without it a machine could be returned to the cloud after another owner has started tasks on it.
     */
    fun <T> call(
        pool: WorkPool,
        blockingCall: () -> T,
        fallback: T,
        done: (T) -> Unit,
        maxWaitMs: Long = Long.MAX_VALUE,
    ) {
        val requestedAt = System.nanoTime()
        try {
            pool.execute {
                val waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - requestedAt)
                val result = if (waitedMs > maxWaitMs) fallback else blockingCall()
                eventLoop.post { done(result) }
            }
        } catch (e: RejectedExecutionException) {
            log.debug("call not made: all threads are busy and the queue is full", e)
            eventLoop.post { done(fallback) }
        }
    }
}

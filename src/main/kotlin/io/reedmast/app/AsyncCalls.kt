package io.reedmast.app

import org.slf4j.LoggerFactory
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit

/** Has blocking calls done on pools of threads and brings their results back to [eventLoop]. */
internal class AsyncCalls(private val eventLoop: EventLoop) {
    private val log = LoggerFactory.getLogger("calls")

    /**
     * Has [blockingCall] done by [pool] and posts its result to [done] on the event loop. [done] gets [notMade] instead
     * if the pool has too much to do, or if the call comes to its turn more than [staleMs] milliseconds later.
     *
     * What was decided seconds ago may be wrong by now: the process may have stood still meanwhile and been replaced,
     * or hung machines kept the threads. No rule rests on it, but a machine might be returned that another owner has
     * filled.
     */
    fun <T> call(
        pool: WorkPool,
        blockingCall: () -> T,
        notMade: T,
        done: (T) -> Unit,
        staleMs: Long = Long.MAX_VALUE,
    ) {
        val decidedAt = System.nanoTime()
        try {
            pool.execute {
                val waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - decidedAt)
                val result = if (waitedMs > staleMs) notMade else blockingCall()
                eventLoop.post { done(result) }
            }
        } catch (e: RejectedExecutionException) {
            log.debug("a call is not made", e)
            eventLoop.post { done(notMade) }
        }
    }
}

package io.reedmast.app

import com.google.common.util.concurrent.ThreadFactoryBuilder
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

/**
 * At most [most] threads and [queued] tasks that wait for one. The thread that became idle last works next.
 *
 * With a common queue each task goes to the thread that has been idle longest: dozens of threads then take turns at
 * what one could do, each with its own cold stack and its own piece of the heap.
 */
class WorkPool(name: String, most: Int, queued: Int) :
    ThreadPoolExecutor(
        0,
        most,
        IDLE_S,
        TimeUnit.SECONDS,
        SynchronousQueue(),
        ThreadFactoryBuilder().setNameFormat("$name-%d").setDaemon(true).build(),
    ) {
    private val overflow = ArrayBlockingQueue<Runnable>(queued)

    init {
        setRejectedExecutionHandler { task, _ ->
            if (!overflow.offer(task)) throw RejectedExecutionException("$name: too much to do")
        }
    }

    override fun afterExecute(task: Runnable, failure: Throwable?) {
        if (failure != null) return
        // All threads were busy when these came; this one is not any more.
        while (true) (overflow.poll() ?: return).run()
    }

    private companion object {
        const val IDLE_S = 20L
    }
}

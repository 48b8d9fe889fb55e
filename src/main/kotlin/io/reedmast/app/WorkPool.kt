package io.reedmast.app

import com.google.common.util.concurrent.ThreadFactoryBuilder
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

/**
 * At most [maxThreads] daemon threads and [maxQueued] tasks that wait for one; a task beyond both is refused with a
 * [RejectedExecutionException]. The thread that became idle last works next. A thread ends after a time without work,
 * so that a pool needs no closing.
 *
 * With a common queue each task goes to the thread that has been idle longest: dozens of threads then take turns at
 * what one could do, each with its own cold stack and its own piece of the heap.
 */
class WorkPool(name: String, maxThreads: Int, maxQueued: Int) :
    ThreadPoolExecutor(
        0,
        maxThreads,
        IDLE_S,
        TimeUnit.SECONDS,
        SynchronousQueue(),
        ThreadFactoryBuilder().setNameFormat("$name-%d").setDaemon(true).build(),
    ) {
    private val overflow = ArrayBlockingQueue<Runnable>(maxQueued)

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

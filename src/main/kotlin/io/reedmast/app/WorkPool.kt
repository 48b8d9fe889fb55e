package io.reedmast.app

import com.google.common.util.concurrent.ThreadFactoryBuilder
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

/**
 * A pool of at most [maxThreads] daemon threads and a queue of at most [maxQueued] tasks; a task beyond both is refused
 * with a [RejectedExecutionException]. A new task goes to the thread that became idle last. Threads end after
 * [IDLE_S] seconds without work, so a pool needs no closing.
 *
 * One shared queue would give each task to the thread that has been idle longest: dozens of threads would take turns at
 * work that one could do, each with its own cold stack and its own part of the heap.
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
            if (!overflow.offer(task)) throw RejectedExecutionException("$name: the queue is full")
        }
    }

    override fun afterExecute(task: Runnable, failure: Throwable?) {
        if (failure != null) return
        // Runs the tasks that were queued while all threads were busy, since this thread is now free.
        while (true) (overflow.poll() ?: return).run()
    }

    private companion object {
        const val IDLE_S = 20L
    }
}

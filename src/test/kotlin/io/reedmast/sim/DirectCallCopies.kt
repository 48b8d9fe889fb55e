package io.reedmast.sim

/**
 * Late copies of direct calls, which the network delivers again after they were carried out (PROTOCOL, Delayed
 * messages).
 *
 * @property maxCopies each call arrives again up to this many times
 * @property maxDelayMs each copy arrives up to this much later, in milliseconds
 */
class DirectCallCopies(private val maxCopies: Int, private val maxDelayMs: Long) {
    /** Schedules the copies of one call to [worker]: [deliver] carries one out. */
    fun schedule(world: World, worker: SimWorker, deliver: () -> Unit) {
        if (maxCopies == 0) return
        repeat(world.random.nextInt(maxCopies + 1)) {
            world.after(world.random.nextLong(1, maxDelayMs + 1)) { deliverWhenReachable(world, worker, deliver) }
        }
    }

    /** A cut holds the copy back; a machine that hangs carries it out when it goes on. */
    private fun deliverWhenReachable(world: World, worker: SimWorker, deliver: () -> Unit) {
        when {
            worker.partitioned || worker.unreachable ->
                world.after(HELD_BACK_MS) { deliverWhenReachable(world, worker, deliver) }

            worker.hung -> worker.whenResumed { deliver() }
            else -> deliver()
        }
    }

    companion object {
        /** No call arrives again. */
        val NONE = DirectCallCopies(0, 0L)
        private const val HELD_BACK_MS = 100L
    }
}

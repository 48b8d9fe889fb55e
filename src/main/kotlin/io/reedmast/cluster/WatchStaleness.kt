package io.reedmast.cluster

import io.reedmast.ports.Clock
import io.reedmast.settings.WorkerRules
import java.util.ArrayDeque

/**
 * How recent this controller's view of the store is.
 *
 * Two watches follow the store, one on the cluster's keys and one on the jobs. Everything that was stored before
 * the older of their last complete answers was asked for is known here.
 */
class WatchStaleness(private val clock: Clock, rules: WorkerRules) {
    private class Waiter(val waitingSince: Long, val resume: (Boolean) -> Unit)

    private var clusterObservedThrough: Long? = null
    private var jobsObservedThrough: Long? = null
    private val waiters = ArrayDeque<Waiter>()

    /**
     * The self-fencing bound: for how many milliseconds workers may be answered on old knowledge.
     *
     * A cancelled task must be gone `cancel_s` after its user was told (PROTOCOL, POST /submissions/{id}/abort), and a
     * worker keeps its tasks for up to `lease_s` after the last answer (PROTOCOL, Leases). A controller that no longer
     * learns of cancellations must therefore give its last answer `cancel_s - lease_s` after the time up to which it
     * knows them, by a clock that may be slow, and with some time to spare. The workers' leases then end in time,
     * whatever the cancellation was.
     */
    private val selfFenceMs = (
        maxOf((rules.cancelS - rules.leaseS) * (1 - CLOCK_DRIFT) - SELF_FENCE_SLACK_S, MIN_SELF_FENCE_S) *
            MS_PER_S
        ).toLong()

    /** Whether the cluster's keys have been read since this process started. */
    val clusterLoaded: Boolean get() = clusterObservedThrough != null

    /** Whether all unfinished jobs have been read since this process started. */
    val jobsLoaded: Boolean get() = jobsObservedThrough != null

    /** Whether both have been read. */
    val loaded: Boolean get() = clusterLoaded && jobsLoaded

    /** Everything stored before this time is known here; null until both watches have answered. */
    val observedThrough: Long? get() {
        val cluster = clusterObservedThrough ?: return null
        val jobs = jobsObservedThrough ?: return null
        return minOf(cluster, jobs)
    }

    /** Whether the store was heard recently enough to decide anything. */
    val isCurrent: Boolean get() = ageMs()?.let { it < CURRENT_WITHIN_MS } ?: false

    /** How many milliseconds ago the store was last heard on both watches; null until both have answered. */
    fun ageMs(): Long? = observedThrough?.let { clock.now() - it }

    /**
     * Whether workers may be answered when every cancellation that a user was told of up to [cancellationsKnownUntil]
     * is known here.
     */
    fun isWithinSelfFence(cancellationsKnownUntil: Long): Boolean = clock.now() - cancellationsKnownUntil < selfFenceMs

    /** The watch on the cluster's keys has completed an answer that was asked for at [askedAt]. */
    fun onClusterObserved(askedAt: Long) {
        clusterObservedThrough = maxOf(clusterObservedThrough ?: askedAt, askedAt)
    }

    /** The watch on jobs has completed an answer that was asked for at [askedAt]. */
    fun onJobsObserved(askedAt: Long) {
        jobsObservedThrough = maxOf(jobsObservedThrough ?: askedAt, askedAt)
        resumeWaiters()
    }

    /**
     * Calls [resume] with true once every job stored before now is known here, or with false if that takes too long.
     *
     * This makes an answer from memory as recent as a read: one request to the store serves all waiters.
     */
    fun awaitJobsBarrier(resume: (Boolean) -> Unit) {
        if (waiters.size >= MAX_WAITERS) resume(false) else waiters.add(Waiter(clock.now(), resume))
    }

    /** Whether a caller of [awaitJobsBarrier] is still waiting. */
    val hasWaiters: Boolean get() = waiters.isNotEmpty()

    /** Resumes the waiters whose answer has come, or has been waited for long enough. */
    fun resumeWaiters() {
        while (true) {
            val first = waiters.peek() ?: return
            val known = jobsObservedThrough?.let { it > first.waitingSince } ?: false
            if (!known && clock.now() - first.waitingSince < MAX_WAIT_MS) return
            waiters.poll()
            first.resume(known)
        }
    }

    /** How long ago each watch was heard, for the log. */
    fun describe(): String {
        val cluster = clusterObservedThrough
        val jobs = jobsObservedThrough
        if (cluster == null || jobs == null) return "the state has not been read"
        val now = clock.now()
        return "watches heard ${now - cluster} and ${now - jobs} ms ago"
    }

    private companion object {
        const val MS_PER_S = 1_000

        /** Four times as long as the watches of a controller that hears the store take for an answer. */
        const val CURRENT_WITHIN_MS = 6_000L
        const val MAX_WAIT_MS = 1_500L
        const val MAX_WAITERS = 1_000

        /** Time to spare between the end of the workers' leases and the time by which cancelled tasks must be gone. */
        const val SELF_FENCE_SLACK_S = 2.0
        const val MIN_SELF_FENCE_S = 1.0
    }
}

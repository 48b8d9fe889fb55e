package io.reedmast.cluster

import io.reedmast.ports.Clock
import io.reedmast.settings.WorkerRules
import java.util.ArrayDeque

/**
 * How recent this controller's view of the store is.
 *
 * Two watches follow the store, one on the cluster's keys and one on the jobs. For each of them, the time at which its
 * last completely answered request was sent is recorded; everything stored before the earlier of these two times is
 * known here.
 */
class WatchStaleness(private val clock: Clock, rules: WorkerRules) {
    private class Waiter(val waitingSince: Long, val resume: (Boolean) -> Unit)

    private var clusterObservedThrough: Long? = null
    private var jobsObservedThrough: Long? = null
    private val waiters = ArrayDeque<Waiter>()

    /**
     * The self-fencing bound: for how many milliseconds after the time up to which all cancellations are known workers
     * may be answered.
     *
     * A cancelled task must be gone `cancel_s` after the answer to its user (PROTOCOL, POST /submissions/{id}/abort),
     * and a worker keeps its tasks for up to `lease_s` after the last answer (PROTOCOL, Leases). A controller that no
     * longer learns of cancellations must therefore give its last answer `cancel_s - lease_s` after the time up to
     * which it knows all of them, less an allowance for a slow clock and a safety margin. The workers' leases then
     * expire in time for any cancellation that it has missed.
     */
    private val selfFenceMs = (
        maxOf(
            (rules.cancelDeadlineS - rules.leaseS) * (1 - MAX_CLOCK_DRIFT_RATIO) - SELF_FENCE_SLACK_S,
            MIN_SELF_FENCE_S,
        ) * MS_PER_S
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

    /** Whether the view of the store is recent enough to base decisions on it. */
    val isCurrent: Boolean get() = ageMs()?.let { it < CURRENT_WITHIN_MS } ?: false

    /** How many milliseconds ago [observedThrough] was; null until both watches have answered. */
    fun ageMs(): Long? = observedThrough?.let { clock.now() - it }

    /**
     * Whether workers may be answered when every cancellation confirmed to a user up to [cancellationsKnownUntil]
     * is known here.
     */
    fun isWithinSelfFence(cancellationsKnownUntil: Long): Boolean = clock.now() - cancellationsKnownUntil < selfFenceMs

    /** Called when the watch on the cluster's keys has completely answered a request sent at [askedAt]. */
    fun onClusterObserved(askedAt: Long) {
        clusterObservedThrough = maxOf(clusterObservedThrough ?: askedAt, askedAt)
    }

    /** Called when the watch on jobs has completely answered a request sent at [askedAt]. */
    fun onJobsObserved(askedAt: Long) {
        jobsObservedThrough = maxOf(jobsObservedThrough ?: askedAt, askedAt)
        resumeWaiters()
    }

    /**
     * Calls [resume] with true once every job stored before this call is known here, or with false if that takes
     * [MAX_WAIT_MS] or [MAX_WAITERS] callers are waiting already.
     *
     * This makes an answer from memory as recent as a read from the store, with one store request for all waiters.
     */
    fun awaitJobsBarrier(resume: (Boolean) -> Unit) {
        if (waiters.size >= MAX_WAITERS) resume(false) else waiters.add(Waiter(clock.now(), resume))
    }

    /** Whether any caller of [awaitJobsBarrier] is still waiting. */
    val hasWaiters: Boolean get() = waiters.isNotEmpty()

    /** Resumes the waiters whose jobs are now known, or that have waited for [MAX_WAIT_MS]. */
    fun resumeWaiters() {
        while (true) {
            val first = waiters.peek() ?: return
            val known = jobsObservedThrough?.let { it > first.waitingSince } ?: false
            if (!known && clock.now() - first.waitingSince < MAX_WAIT_MS) return
            waiters.poll()
            first.resume(known)
        }
    }

    /** The age of this controller's view of the cluster's keys and of the jobs, for the log. */
    fun describe(): String {
        val cluster = clusterObservedThrough
        val jobs = jobsObservedThrough
        if (cluster == null || jobs == null) return "the cluster keys or the jobs have not been read from the store yet"
        val now = clock.now()
        return "cluster keys known as of ${now - cluster} ms ago, jobs as of ${now - jobs} ms ago"
    }

    private companion object {
        const val MS_PER_S = 1_000

        /** Four times as long as the watches of a controller that reaches the store take to complete an answer. */
        const val CURRENT_WITHIN_MS = 6_000L
        const val MAX_WAIT_MS = 1_500L
        const val MAX_WAITERS = 1_000

        /** The margin between the expiry of the workers' leases and the time by which cancelled tasks must be gone. */
        const val SELF_FENCE_SLACK_S = 2.0
        const val MIN_SELF_FENCE_S = 1.0
    }
}

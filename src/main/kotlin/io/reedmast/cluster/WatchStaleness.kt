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
    private class Waiter(val since: Long, val resume: (Boolean) -> Unit)

    private var clusterObservedThrough: Long? = null
    private var jobsObservedThrough: Long? = null
    private val waiters = ArrayDeque<Waiter>()

    /**
     * How long workers may be answered on old knowledge. A cancelled task must be gone `cancel_s` after its user was
     * told, and a worker's lease outlasts the last answer by `lease_s`.
     */
    private val selfFenceMs = (
        maxOf((rules.cancelS - rules.leaseS) * (1 - CLOCK_DRIFT) - SELF_FENCE_SLACK_S, MIN_SELF_FENCE_S) *
            1000
        ).toLong()

    /** Whether the cluster's keys, and all unfinished jobs, have been read since this process started. */
    val clusterLoaded: Boolean get() = clusterObservedThrough != null
    val jobsLoaded: Boolean get() = jobsObservedThrough != null
    val loaded: Boolean get() = clusterLoaded && jobsLoaded

    /** Everything stored before this time is known here; null until both watches have answered. */
    val observedThrough: Long? get() {
        val cluster = clusterObservedThrough ?: return null
        val jobs = jobsObservedThrough ?: return null
        return minOf(cluster, jobs)
    }

    /** Whether the store was heard recently enough to decide anything. */
    val isCurrent: Boolean get() = ageMs()?.let { it < CURRENT_WITHIN_MS } ?: false

    /** How long ago the store was last heard on both watches. */
    fun ageMs(): Long? = observedThrough?.let { clock.now() - it }

    /** Whether workers may be answered on the strength of what was known at [confirmedAt]. */
    fun isWithinSelfFence(confirmedAt: Long): Boolean = clock.now() - confirmedAt < selfFenceMs

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
            val known = jobsObservedThrough?.let { it > first.since } ?: false
            if (!known && clock.now() - first.since < WAIT_MS) return
            waiters.poll()
            first.resume(known)
        }
    }

    /** For the log. */
    fun describe(): String {
        val now = clock.now()
        val cluster = clusterObservedThrough ?: return UNREAD
        val jobs = jobsObservedThrough ?: return UNREAD
        return "watches heard ${now - cluster} and ${now - jobs} ms ago"
    }

    private companion object {
        const val UNREAD = "the state has not been read"
        const val CURRENT_WITHIN_MS = 6_000L
        const val WAIT_MS = 1_500L
        const val MAX_WAITERS = 1_000
        const val SELF_FENCE_SLACK_S = 2.0
        const val MIN_SELF_FENCE_S = 1.0
    }
}

package io.reedmast.ownership

import io.reedmast.ports.Clock
import io.reedmast.settings.WorkerRules
import java.util.ArrayDeque

/**
 * How recent this controller's view of the store is.
 *
 * Two watches follow the store, one on the cluster's keys and one on the jobs. Everything that was stored before
 * the older of their last complete answers was asked for is known here.
 */
class Freshness(private val clock: Clock, rules: WorkerRules) {
    private class Waiter(val since: Long, val resume: (Boolean) -> Unit)

    private var clusterKnownAt: Long? = null
    private var jobsKnownAt: Long? = null
    private val waiters = ArrayDeque<Waiter>()

    /**
     * How long workers may be answered on old knowledge. A cancelled task must be gone `cancel_s` after its user was told,
     * and a worker's lease outlasts the last answer by `lease_s`.
     */
    private val fenceMs = (maxOf((rules.cancelS - rules.leaseS) * (1 - CLOCK_DRIFT) - FENCE_SLACK_S, LEAST_FENCE_S) * 1000).toLong()

    /** Whether the cluster's keys, and all unfinished jobs, have been read since this process started. */
    val clusterLoaded: Boolean get() = clusterKnownAt != null
    val jobsLoaded: Boolean get() = jobsKnownAt != null
    val loaded: Boolean get() = clusterLoaded && jobsLoaded

    /** Everything stored before this time is known here; null until both watches have answered. */
    val knownAt: Long? get() {
        val cluster = clusterKnownAt ?: return null
        val jobs = jobsKnownAt ?: return null
        return minOf(cluster, jobs)
    }

    /** Whether the store was heard recently enough to decide anything. */
    val isFresh: Boolean get() = ageMs()?.let { it < FRESH_MS } ?: false

    /** How long ago the store was last heard on both watches. */
    fun ageMs(): Long? = knownAt?.let { clock.now() - it }

    /** Whether workers may be answered on the strength of what was known at [confirmedAt]. */
    fun isWithinFence(confirmedAt: Long): Boolean = clock.now() - confirmedAt < fenceMs

    /** The watch on the cluster's keys has completed an answer that was asked for at [askedAt]. */
    fun clusterHeard(askedAt: Long) {
        clusterKnownAt = maxOf(clusterKnownAt ?: askedAt, askedAt)
    }

    /** The watch on jobs has completed an answer that was asked for at [askedAt]. */
    fun jobsHeard(askedAt: Long) {
        jobsKnownAt = maxOf(jobsKnownAt ?: askedAt, askedAt)
        resumeWaiters()
    }

    /**
     * Calls [resume] with true once every job stored before now is known here, or with false if that takes too long.
     *
     * This makes an answer from memory as recent as a read: one request to the store serves all waiters.
     */
    fun whenJobsKnown(resume: (Boolean) -> Unit) {
        if (waiters.size >= MAX_WAITERS) resume(false) else waiters.add(Waiter(clock.now(), resume))
    }

    /** Whether a caller of [whenJobsKnown] is still waiting. */
    val hasWaiters: Boolean get() = waiters.isNotEmpty()

    /** Resumes the waiters whose answer has come, or has been waited for long enough. */
    fun resumeWaiters() {
        while (true) {
            val first = waiters.peek() ?: return
            val known = jobsKnownAt?.let { it > first.since } ?: false
            if (!known && clock.now() - first.since < WAIT_MS) return
            waiters.poll()
            first.resume(known)
        }
    }

    /** For the log. */
    fun describe(): String {
        val now = clock.now()
        val cluster = clusterKnownAt ?: return UNREAD
        val jobs = jobsKnownAt ?: return UNREAD
        return "watches heard ${now - cluster} and ${now - jobs} ms ago"
    }

    private companion object {
        const val UNREAD = "the state has not been read"
        const val FRESH_MS = 6_000L
        const val WAIT_MS = 1_500L
        const val MAX_WAITERS = 1_000
        const val FENCE_SLACK_S = 2.0
        const val LEAST_FENCE_S = 1.0
    }
}

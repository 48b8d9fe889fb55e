package io.reedmast.cluster

import io.reedmast.settings.ShardId

/**
 * Workers that report to this controller although another controller owns their shard, because the owner does not
 * answer them.
 *
 * An owner may lose its connection to the workers alone. It then keeps its membership key and its term, and nothing
 * shows it that it is cut off. If no other controller acquired its shards, all their tasks would end when the workers'
 * leases expire (PROTOCOL, Leases). The workers' behaviour reveals the fault: a worker that gets no answer tries the
 * next controller, a redirected worker goes to the controller named in the redirect, and a worker that the owner does
 * not answer soon comes back (PROTOCOL, Workers -> controller nodes).
 *
 * All times are in milliseconds.
 */
internal class MisdirectedHeartbeats(shards: Int, heartbeatIntervalS: Double) {
    /** A redirect of a worker at [addr] to the owner; [isRepeated] if the worker had been redirected shortly before. */
    private class Redirect(val at: Long, val addr: String, val isRepeated: Boolean)

    private val redirectsByShard = Array(shards) { HashMap<String, Redirect>() }
    private val ownerChangedAt = LongArray(shards)

    /**
     * How long after a change of owner redirects are not evidence of a fault: before a worker reaches the new owner,
     * its heartbeat may come a quarter of the interval late, wait for an answer in vain, and be redirected.
     */
    private val settlingMs =
        ((heartbeatIntervalS * HEARTBEAT_JITTER + UNANSWERED_ATTEMPT_S) * SETTLING_MARGIN * MS_PER_S).toLong()

    /** Whether no redirect of a worker of [shard] is recorded. */
    fun isEmpty(shard: ShardId): Boolean = redirectsByShard[shard.value].isEmpty()

    /**
     * Records that a worker of [shard] is redirected to the owner. Returns whether it had already been redirected there
     * within the last [RETURN_WINDOW_MS].
     */
    fun recordRedirect(shard: ShardId, machineName: String, addr: String, now: Long): Boolean {
        val previous = redirectsByShard[shard.value][machineName]
        val isRepeated = previous != null && now - previous.at <= RETURN_WINDOW_MS
        redirectsByShard[shard.value][machineName] = Redirect(now, addr, isRepeated)
        return isRepeated
    }

    /**
     * The names and addresses of some workers, if the owner seems unreachable for more than half of the shard's
     * [knownWorkers] (machines that have ever been up); otherwise empty. A few workers may be cut off through faults of
     * their own, so with fewer than [SUFFICIENT_WORKERS] at least one must have been redirected before.
     */
    fun sampleIfMajority(shard: ShardId, knownWorkers: Int, now: Long): Map<String, String> {
        val recent = redirectsByShard[shard.value]
        recent.values.removeIf { now - it.at > RETURN_WINDOW_MS }
        val isMajority = recent.size * 2 > knownWorkers
        val isSettled = now - ownerChangedAt[shard.value] >= settlingMs
        val hasEnoughEvidence = recent.size >= SUFFICIENT_WORKERS || recent.values.any { it.isRepeated }
        if (!isMajority || !isSettled || !hasEnoughEvidence) return emptyMap()
        return recent.entries.sortedByDescending { it.value.at }.take(SAMPLED_WORKERS)
            .associate { it.key to it.value.addr }
    }

    /** Discards the redirects of [shard], which has a new owner that its workers have yet to find. */
    fun onNewOwner(shard: ShardId, now: Long) {
        redirectsByShard[shard.value].clear()
        ownerChangedAt[shard.value] = now
    }

    /**
     * Discards all redirects while this controller gets no answers from the store. The owners may get none either and
     * turn their workers away: after an outage, the workers of all owners went from controller to controller, and one
     * controller acquired every shard from healthy owners.
     */
    fun onStoreUnreachable(now: Long) {
        for (shard in redirectsByShard.indices) onNewOwner(ShardId(shard), now)
    }

    private companion object {
        /** A redirected worker that the owner does not answer comes back after [UNANSWERED_ATTEMPT_S] or less. */
        const val RETURN_WINDOW_MS = 8_000L

        /** A worker waits 4 s for an answer and 1 s before it goes on, and may pause for 0.5 s on its way. */
        const val UNANSWERED_ATTEMPT_S = 5.5

        /** A heartbeat comes up to a quarter of the interval late. */
        const val HEARTBEAT_JITTER = 1.25
        const val SETTLING_MARGIN = 1.5
        const val MS_PER_S = 1_000

        /** With this many redirected workers, none needs to have been redirected repeatedly. */
        const val SUFFICIENT_WORKERS = 4
        const val SAMPLED_WORKERS = 3
    }
}

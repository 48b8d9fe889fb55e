package io.reedmast.cluster

import io.reedmast.settings.ShardId

/**
 * Workers that report to this controller although another one owns their shard, because that one does not answer them.
 *
 * An owner may be cut off from workers alone. It keeps its key and its term then, and nothing shows that to it; if
 * nobody acquired its shards, every task of them would end with the workers' leases (PROTOCOL, Leases). What the
 * workers do shows it: a worker without an answer tries the next controller, a redirected one goes to the controller
 * named, and one whom the owner does not answer comes back soon (PROTOCOL, Workers -> controller nodes).
 *
 * All times are in milliseconds.
 */
internal class MisdirectedHeartbeats(shards: Int, heartbeatIntervalS: Double) {
    /** A worker at [addr] that was redirected to the owner; [isRepeated]: not for the first time. */
    private class Redirect(val at: Long, val addr: String, val isRepeated: Boolean)

    private val redirects = Array(shards) { HashMap<String, Redirect>() }
    private val ownerChangedAt = LongArray(shards)

    /**
     * For how long after a change of owner redirects mean nothing: a worker's heartbeat comes a quarter late, waits for
     * an answer in vain, and is redirected, before it reaches the new owner.
     */
    private val settlingMs = (
        (heartbeatIntervalS * HEARTBEAT_JITTER + UNANSWERED_ATTEMPT_S) * SETTLING_MARGIN *
            MS_PER_S
        ).toLong()

    /** Whether no worker of [shard] has been redirected. */
    fun isEmpty(shard: ShardId): Boolean = redirects[shard.value].isEmpty()

    /**
     * Records that a worker of [shard] is redirected to the owner, and returns whether it had just been sent there
     * before.
     */
    fun recordRedirect(shard: ShardId, machineName: String, addr: String, now: Long): Boolean {
        val previous = redirects[shard.value][machineName]
        val isRepeated = previous != null && now - previous.at <= RETURN_WINDOW_MS
        redirects[shard.value][machineName] = Redirect(now, addr, isRepeated)
        return isRepeated
    }

    /**
     * Names and addresses of some workers, if the owner seems unreachable for more than half of the shard's
     * [knownWorkers], the machines that have ever been up; otherwise nothing. A few workers may be lost on their own
     * account, so one of them must have been redirected before.
     */
    fun sampleIfMajority(shard: ShardId, knownWorkers: Int, now: Long): Map<String, String> {
        val recent = redirects[shard.value]
        recent.values.removeIf { now - it.at > RETURN_WINDOW_MS }
        val isMajority = recent.size * 2 > knownWorkers
        val isSettled = now - ownerChangedAt[shard.value] >= settlingMs
        val hasEnoughEvidence = recent.size >= SUFFICIENT_WORKERS || recent.values.any { it.isRepeated }
        if (!isMajority || !isSettled || !hasEnoughEvidence) return emptyMap()
        return recent.entries.sortedByDescending { it.value.at }.take(SAMPLED_WORKERS)
            .associate { it.key to it.value.addr }
    }

    /** The shard has another owner now, to whom its workers must find their way first. */
    fun onNewOwner(shard: ShardId, now: Long) {
        redirects[shard.value].clear()
        ownerChangedAt[shard.value] = now
    }

    /**
     * This controller hears nothing from the store. The owners may be no better off and send their workers away: after
     * an outage the workers of all of them went round, and one controller acquired every shard from owners that were
     * well.
     */
    fun onStoreUnreachable(now: Long) {
        for (shard in redirects.indices) onNewOwner(ShardId(shard), now)
    }

    private companion object {
        /**
         * A worker waits four seconds for an answer and one before it goes on, and may pause half a second on its way.
         */
        const val RETURN_WINDOW_MS = 8_000L
        const val UNANSWERED_ATTEMPT_S = 5.5

        /** A heartbeat comes up to a quarter of the interval late. */
        const val HEARTBEAT_JITTER = 1.25
        const val SETTLING_MARGIN = 1.5
        const val MS_PER_S = 1_000

        /** From so many redirected workers on, none needs to have come back. */
        const val SUFFICIENT_WORKERS = 4
        const val SAMPLED_WORKERS = 3
    }
}

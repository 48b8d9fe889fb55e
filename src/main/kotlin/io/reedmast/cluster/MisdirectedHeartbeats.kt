package io.reedmast.cluster

import io.reedmast.settings.ShardId

/**
 * Workers that report to us although another controller owns their shard: it does not answer them.
 *
 * An owner may be cut off from workers alone. It keeps its key and its term then, and nothing tells it so; if nobody
 * took its shards over, every task of them would end with the workers' leases.
 */
class MisdirectedHeartbeats(shards: Int, reportS: Double) {
    /** A worker that was redirects on to the owner; [again]: not for the first time. */
    class Redirect(val at: Long, val addr: String, val again: Boolean)

    private val redirects = Array(shards) { HashMap<String, Redirect>() }
    private val changedAt = LongArray(shards)

    /**
     * A worker reports a quarter late, waits for an answer in vain, and is redirects on, before it reaches a new owner.
     */
    private val settledMs = ((reportS * 1.25 + FRUITLESS_S) * SLACK * 1000).toLong()

    fun none(shard: ShardId): Boolean = redirects[shard.value].isEmpty()

    /** Takes note of a worker of [shard] that is redirects to the owner, and tells whether it had just been there. */
    fun recordRedirect(shard: ShardId, machineName: String, addr: String, now: Long): Boolean {
        val before = redirects[shard.value][machineName]
        val again = before != null && now - before.at <= BACK_WITHIN_MS
        redirects[shard.value][machineName] = Redirect(now, addr, again)
        return again
    }

    /**
     * Names and addresses of some workers, if the owner seems out of reach for most of [machineNames], the shard's
     * machines that have ever been up. A few workers may be lost on their own account, so of them it takes one that
     * came back.
     */
    fun sampleIfMost(shard: ShardId, machineNames: Int, now: Long): Map<String, String> {
        val of = redirects[shard.value]
        of.values.removeIf { now - it.at > BACK_WITHIN_MS }
        if (of.size * 2 <= machineNames || now - changedAt[shard.value] < settledMs) return emptyMap()
        if (of.size < FEW && of.values.none { it.again }) return emptyMap()
        return of.entries.sortedByDescending { it.value.at }.take(ASKED).associate { it.key to it.value.addr }
    }

    /** The shard has another owner now, to whom its workers must find their way first. */
    fun newOwner(shard: ShardId, now: Long) {
        redirects[shard.value].clear()
        changedAt[shard.value] = now
    }

    /**
     * This controller hears nothing from the store. Its owners may be no better off and send their workers away: after
     * an outage the workers of all of them went round, and one controller took every shard from owners that were well.
     */
    fun isCutOff(now: Long) {
        for (shard in redirects.indices) newOwner(ShardId(shard), now)
    }

    private companion object {
        /**
         * A worker waits four seconds for an answer and one before it goes on, and may pause half a second on its way.
         */
        const val BACK_WITHIN_MS = 8_000L
        const val FRUITLESS_S = 5.5
        const val SLACK = 1.5
        const val FEW = 4
        const val ASKED = 3
    }
}

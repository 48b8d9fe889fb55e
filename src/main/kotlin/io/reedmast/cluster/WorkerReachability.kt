package io.reedmast.cluster

import io.reedmast.ports.Clock
import io.reedmast.ports.WorkerTransport
import io.reedmast.settings.ShardId
import io.reedmast.wire.Reply

/**
 * Whether this controller and the workers reach each other.
 *
 * A controller that has lost only the workers still has its keys and hears the store. If it took over a shard, the
 * shard's workers would lose their leases before another controller noticed.
 */
class WorkerReachability(private val clock: Clock, private val workers: WorkerTransport) {
    private var heardAt: Long? = null
    private val probing = HashSet<ShardId>()

    /** A worker's report, or its answer to a call, has come. */
    fun recordContact() {
        heardAt = clock.now()
    }

    /** Whether a worker was heard so recently that nothing need be tried. */
    val isRecent: Boolean get() = heardAt?.let { clock.now() - it < RECENT_MS } ?: false

    /**
     * Calls some of the workers of [shard] at [addresses], all over the list; [failed] is called if none of them
     * answers.
     */
    fun probe(shard: ShardId, addresses: List<String>, failed: () -> Unit) {
        if (addresses.isEmpty() || !probing.add(shard)) return
        val step = maxOf(1, addresses.size / PROBES)
        val chosen = addresses.filterIndexed { index, _ -> index % step == 0 }.take(PROBES)
        var open = chosen.size
        var answered = false
        for (address in chosen) {
            // Neither token nor session are the worker's: nothing is executed, and the refusal is its newest report.
            workers.call(address, 0L, 0L, emptyList()) { reply ->
                if (reply is Reply.Answer) {
                    answered = true
                    recordContact()
                }
                if (--open == 0) {
                    probing.remove(shard)
                    if (!answered) failed()
                }
            }
        }
    }

    private companion object {
        const val RECENT_MS = 5_000L
        const val PROBES = 3
    }
}

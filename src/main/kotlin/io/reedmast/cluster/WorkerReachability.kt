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
internal class WorkerReachability(
    private val clock: Clock,
    private val workers: WorkerTransport,
    private val addresses: WorkerAddresses,
) {
    private var lastContactAt: Long? = null
    private val probing = HashSet<ShardId>()

    /** Calls to some workers of one shard. */
    private class Probe(var pendingCalls: Int) {
        var answered = false
    }

    /** A worker's heartbeat, or its answer to a call, has come. */
    fun recordContact() {
        lastContactAt = clock.now()
    }

    /** Whether no probe is needed: a worker was heard recently, or no address of the shard's workers is known. */
    fun canSkipProbe(shard: ShardId): Boolean = hasRecentContact() || addresses.of(shard).isEmpty()

    private fun hasRecentContact() = lastContactAt?.let { clock.now() - it < RECENT_CONTACT_MS } ?: false

    /**
     * Calls some of the workers of [shard], spread over all of them, unless that is being done; [onUnreachable] is
     * called if none of them answers.
     */
    fun probe(shard: ShardId, onUnreachable: () -> Unit) {
        val known = addresses.of(shard)
        if (known.isEmpty() || !probing.add(shard)) return
        val step = maxOf(1, known.size / PROBED_WORKERS)
        val chosen = known.filterIndexed { index, _ -> index % step == 0 }.take(PROBED_WORKERS)
        val probe = Probe(chosen.size)
        for (address in chosen) {
            workers.probe(address) { reply ->
                if (reply is Reply.Answer) {
                    probe.answered = true
                    recordContact()
                }
                if (--probe.pendingCalls == 0) {
                    probing.remove(shard)
                    if (!probe.answered) onUnreachable()
                }
            }
        }
    }

    private companion object {
        const val RECENT_CONTACT_MS = 5_000L
        const val PROBED_WORKERS = 3
    }
}

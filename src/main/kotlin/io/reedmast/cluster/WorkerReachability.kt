package io.reedmast.cluster

import io.reedmast.ports.Clock
import io.reedmast.ports.WorkerTransport
import io.reedmast.settings.ShardId
import io.reedmast.wire.Reply

/**
 * Tracks whether this controller and the workers can reach each other.
 *
 * A controller that has lost its connection to the workers alone still holds its keys and gets answers from the store.
 * If it acquired a shard, the leases of the shard's workers would expire before another controller noticed.
 */
internal class WorkerReachability(
    private val clock: Clock,
    private val workers: WorkerTransport,
    private val addresses: WorkerAddresses,
) {
    private var lastContactAt: Long? = null
    private val probing = HashSet<ShardId>()

    /** The state of the calls to some workers of one shard. */
    private class Probe(var pendingCalls: Int) {
        var answered = false
    }

    /** Records that a worker's heartbeat, or its answer to a call, has been received. */
    fun recordContact() {
        lastContactAt = clock.now()
    }

    /** Whether no probe is needed: some worker had contact recently, or no address of the shard's workers is known. */
    fun canSkipProbe(shard: ShardId): Boolean = hasRecentContact() || addresses.of(shard).isEmpty()

    private fun hasRecentContact() = lastContactAt?.let { clock.now() - it < RECENT_CONTACT_MS } ?: false

    /**
     * Calls a sample of the workers of [shard], evenly spread over all of them, unless such a probe is in progress.
     * [onUnreachable] is called if none of them answers.
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

package io.reedmast.cluster

import io.reedmast.ports.Clock
import io.reedmast.ports.WorkerTransport
import io.reedmast.settings.Settings
import io.reedmast.settings.ShardId
import io.reedmast.wire.Reply

/**
 * Finds shards whose owner is alive and keeps its records in the store, but cannot be reached by the workers.
 *
 * Such workers report to this controller instead. This counts only once one of them has answered a call, because
 * delayed copies of heartbeats from dead machines suggest an unreachable owner as well (PROTOCOL, Delayed messages).
 */
internal class UnreachableOwnerDetector(
    private val settings: Settings,
    private val clock: Clock,
    private val workers: WorkerTransport,
    tables: ClusterTables,
    private val addresses: WorkerAddresses,
    private val acquirer: ShardAcquirer,
    private val attempts: AcquisitionAttempts,
) {
    private val staleness = tables.staleness
    private val shards = tables.shards
    private val machineDirectory = tables.machineDirectory
    private val misdirected = MisdirectedHeartbeats(settings.shardCount, settings.workers.heartbeatIntervalS)
    private val probing = BooleanArray(settings.shardCount)

    /**
     * The controller to which to redirect a worker of [shard], which this controller does not own: the shard's owner,
     * but not twice in a row if the owner does not answer. Null if the worker must find another controller by itself.
     */
    fun redirectTarget(shard: ShardId, machineName: String, addr: String): String? {
        val facts = machineDirectory.factsOf(machineName)
        // A new machine reports to an arbitrary controller first, so its redirect says nothing about the owner. In a
        // fast-growing shard most workers are new.
        val isKnown = facts.addr == addr
        facts.addr = addr
        val isRepeated = isKnown && misdirected.recordRedirect(shard, machineName, addr, clock.now())
        return shards.ownerOf(shard)?.takeIf { it != settings.label && !isRepeated }
    }

    /** Called when [shard] has a new owner. */
    fun onNewOwner(shard: ShardId) = misdirected.onNewOwner(shard, clock.now())

    /** Called periodically while this controller gets no answers from the store. */
    fun onStoreUnreachable(now: Long) = misdirected.onStoreUnreachable(now)

    /** Acquires [shard] from a live owner if its workers cannot reach that owner and one of them answers a call. */
    fun check(shard: ShardId, now: Long) {
        if (probing[shard.value] || misdirected.isEmpty(shard)) return
        val sample = misdirected.sampleIfMajority(shard, addresses.of(shard).size, now)
        val owner = shards.ownerOf(shard)
        for ((machineName, addr) in sample) {
            probing[shard.value] = true
            workers.probe(addr) { reply ->
                probing[shard.value] = false
                if (answers(machineName, reply) && mayAcquire(shard, owner)) {
                    acquirer.acquire(shard, AcquisitionReason.WorkersCannotReachOwner(owner))
                }
            }
        }
    }

    private fun answers(machineName: String, reply: Reply) = (reply as? Reply.Answer)?.body?.get("host") == machineName

    private fun mayAcquire(shard: ShardId, owner: String?) =
        staleness.isCurrent && shards.ownerOf(shard) == owner && !attempts.isInProgress(shard)
}

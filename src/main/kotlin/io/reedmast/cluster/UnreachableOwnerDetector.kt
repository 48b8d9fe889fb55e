package io.reedmast.cluster

import io.reedmast.ports.Clock
import io.reedmast.ports.WorkerTransport
import io.reedmast.settings.Settings
import io.reedmast.settings.ShardId
import io.reedmast.wire.Reply

/**
 * Finds shards whose owner lives and keeps its records, but is not reached by its workers.
 *
 * Such workers report to this controller instead. One of them must answer a call before that counts: late copies of the
 * heartbeats of dead machines ask for another owner as well (PROTOCOL, Delayed messages).
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
    private val misdirected = MisdirectedHeartbeats(settings.shardCount, settings.workers.reportS)
    private val probing = BooleanArray(settings.shardCount)

    /**
     * Where to send a worker of [shard], which is not this controller's: to its owner, but not twice in a row to one
     * that does not answer. Null if the worker must look for another controller by itself.
     */
    fun redirectTarget(shard: ShardId, machineName: String, addr: String): String? {
        val facts = machineDirectory.of(machineName)
        // A new machine reports to any controller first: with a shard that grows fast, most of its workers are new
        // ones.
        val isKnown = facts.addr == addr
        facts.addr = addr
        val isRepeated = isKnown && misdirected.recordRedirect(shard, machineName, addr, clock.now())
        return shards.ownerOf(shard)?.takeIf { it != settings.label && !isRepeated }
    }

    /** The shard has another owner now. */
    fun onNewOwner(shard: ShardId) = misdirected.onNewOwner(shard, clock.now())

    /** This controller hears nothing from the store. */
    fun onStoreUnreachable(now: Long) = misdirected.onStoreUnreachable(now)

    /** Acquires the shard of a living owner, if its workers do not reach that owner and one of them answers a call. */
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

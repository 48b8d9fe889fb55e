package io.reedmast.cluster

import io.reedmast.ports.Clock
import io.reedmast.settings.ShardId
import org.slf4j.LoggerFactory

/**
 * Checks each shard that this controller does not serve, and acquires it when [AcquisitionPolicy] gives a reason or
 * [UnreachableOwnerDetector] finds that the shard's workers cannot reach its owner.
 */
internal class ShardAcquisition(
    private val clock: Clock,
    tables: ClusterTables,
    private val policy: AcquisitionPolicy,
    private val attempts: AcquisitionAttempts,
    private val acquirer: ShardAcquirer,
    private val reachability: WorkerReachability,
    private val unreachableOwners: UnreachableOwnerDetector,
) {
    private val membership = tables.membership
    private val shards = tables.shards
    private val owners = tables.owners
    private val log = LoggerFactory.getLogger("cluster")

    /** Checks each shard; called periodically while the store answers. */
    fun runOnce(now: Long) {
        for (index in shards.records.indices) considerShard(ShardId(index), now)
    }

    private fun considerShard(shard: ShardId, now: Long) {
        if (attempts.isInProgress(shard) || owners[shard] != null) return
        val owner = shards.ownerOf(shard)
        if (!policy.mayAcquireFrom(owner)) return
        val reason = policy.reasonToAcquire(shard, now)
        if (reason != null) {
            if (!attempts.isPaused(shard, now)) acquireIfReachable(shard, reason)
        } else if (owner != null && membership.isPresent(owner)) {
            unreachableOwners.check(shard, now)
        }
    }

    /**
     * Acquires the shard of another controller only if its workers can be reached, or if its owner has been absent for
     * more than [ABANDONED_MS] and nobody else has acquired it. An answered probe counts as worker contact, so that a
     * later call acquires the shard.
     */
    private fun acquireIfReachable(shard: ShardId, reason: AcquisitionReason) {
        if (!needsWorkers(reason) || reachability.canSkipProbe(shard)) {
            acquirer.acquire(shard, reason)
            return
        }
        reachability.probe(shard) {
            log.info("shard {}: not acquired, its workers cannot be reached from this controller", shard.value)
            attempts.pauseForUnreachableWorkers(shard)
        }
    }

    private fun needsWorkers(reason: AcquisitionReason): Boolean = when (reason) {
        AcquisitionReason.Unowned, AcquisitionReason.OwnShardNotServed -> false
        is AcquisitionReason.OwnerAbsent -> reason.absentMs <= ABANDONED_MS
        else -> true
    }

    /** Acquires [shard] again to get a higher token, because a worker has seen one above this controller's. */
    fun renewToken(shard: ShardId) = reacquire(shard, AcquisitionReason.HigherTokenSeen)

    /** Acquires [shard], which this controller owns, again in order to read its stored state in smaller parts. */
    fun reload(shard: ShardId) = reacquire(shard, AcquisitionReason.OversizedRecords)

    private fun reacquire(shard: ShardId, reason: AcquisitionReason) {
        if (!attempts.isPaused(shard, clock.now())) acquirer.acquire(shard, reason)
    }

    private companion object {
        /** Twice the time within which the other controllers detect that the shard needs another owner. */
        const val ABANDONED_MS = 20_000L
    }
}

package io.reedmast.cluster

import io.reedmast.ports.Clock
import io.reedmast.settings.Settings
import io.reedmast.settings.ShardId

/**
 * Decides whether this controller should acquire a shard now.
 *
 * An acquisition is safe at any time because it is a conditional write under a fresh token; the rules here only choose
 * a suitable moment for it.
 */
internal class AcquisitionPolicy(
    private val settings: Settings,
    clock: Clock,
    tables: ClusterTables,
    private val failoverRequests: FailoverRequests,
    private val failbackDelay: FailbackDelay,
) {
    private val membership = tables.membership
    private val shards = tables.shards
    private val rollout = tables.rollout
    private val startedAt = clock.now()

    /** Whether this controller may acquire a shard of [owner]; while being drained, it reacquires only its own. */
    fun mayAcquireFrom(owner: String?): Boolean = !rollout.isDraining || owner == settings.label

    /** The reason to acquire [shard], which this controller does not serve, or null if there is none at [now]. */
    fun reasonToAcquire(shard: ShardId, now: Long): AcquisitionReason? {
        val owner = shards.ownerOf(shard)
        val requestedAt = failoverRequests.requestedAt(shard)
        return when {
            owner == null -> AcquisitionReason.Unowned.takeIf { mayAcquireUnowned(shard, now) }
            owner == settings.label -> AcquisitionReason.OwnShardNotServed
            !membership.isPresent(owner) -> reasonForAbsentOwner(owner, now)
            requestedAt != null -> AcquisitionReason.FailoverRequested.takeIf { now - requestedAt > delayMs(owner) }
            else -> AcquisitionReason.Failback.takeIf { mayFailBack(shard, owner, now) }
        }
    }

    /**
     * Each controller first acquires the shard with its own index, and leaves the other unowned shards alone for one
     * lease duration so that the other controllers can do the same.
     */
    private fun mayAcquireUnowned(shard: ShardId, now: Long) =
        isPreferredOwner(shard) || uptimeMs(now) > ControllerLease.LEASE_MS

    private fun reasonForAbsentOwner(owner: String, now: Long): AcquisitionReason? {
        val absentMs = membership.absentForMs(owner, now)
        val isDue = absentMs > delayMs(owner) && uptimeMs(now) > DELAY_PER_RANK_MS
        return if (isDue) AcquisitionReason.OwnerAbsent(absentMs) else null
    }

    private fun mayFailBack(shard: ShardId, owner: String, now: Long) = isPreferredOwner(shard) &&
        uptimeMs(now) > MIN_UPTIME_FOR_FAILBACK_MS &&
        failbackDelay.hasElapsed(now) &&
        shards.countOf(owner) > 1

    /** The preferred owner of a shard is the controller with the same index, unless it cannot serve the shard. */
    private fun isPreferredOwner(shard: ShardId) = shard.value == settings.controllerId.value

    private fun uptimeMs(now: Long) = now - startedAt

    /** How long this controller leaves a shard of [owner] to the controllers ranked before it. */
    private fun delayMs(owner: String): Long = rankAmongSuccessors(owner) * DELAY_PER_RANK_MS

    /** The controller with the fewest shards ranks first; the others act in turn if it does not acquire the shard. */
    private fun rankAmongSuccessors(owner: String): Int {
        val successors = membership.alive() - owner - rollout.draining()
        return successors.sortedWith(compareBy({ shards.countOf(it) }, { it })).indexOf(settings.label)
    }

    private companion object {
        const val DELAY_PER_RANK_MS = 700L
        const val MIN_UPTIME_FOR_FAILBACK_MS = 8_000L
    }
}

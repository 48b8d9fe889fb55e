package io.reedmast.cluster

import io.reedmast.model.ShardRecord
import io.reedmast.ports.Clock
import io.reedmast.ports.KeyValueStore
import io.reedmast.ports.PeerMessage
import io.reedmast.ports.WorkerTransport
import io.reedmast.settings.Settings
import io.reedmast.settings.ShardId
import io.reedmast.shard.ShardOwner
import org.slf4j.LoggerFactory

/**
 * Manages which shards this controller owns, by combining the classes that decide when to acquire a shard, acquire it,
 * and restore its state; drops shards that another controller has acquired.
 */
internal class ShardFailover(
    private val settings: Settings,
    private val clock: Clock,
    store: KeyValueStore,
    workers: WorkerTransport,
    private val tables: ClusterTables,
    /** Reads a key again after a transaction that was not applied. */
    reread: (String) -> Unit,
) {
    private val log = LoggerFactory.getLogger("cluster")
    private val owners = tables.owners
    private val shards = tables.shards
    private val failoverRequests = FailoverRequests(shards)
    private val failbackDelay = FailbackDelay()
    private val attempts = AcquisitionAttempts(settings, clock)
    private val restorer = ShardRestorer(clock, store, tables.staleness, tables.jobs, owners, attempts)
    private val acquirer = ShardAcquirer(settings, store, shards, owners, tables.rollout, attempts, restorer, reread)
    private val workerAddresses = WorkerAddresses(tables.machines, tables.machineDirectory)
    private val reachability = WorkerReachability(clock, workers, workerAddresses)
    private val unreachableOwners =
        UnreachableOwnerDetector(settings, clock, workers, tables, workerAddresses, acquirer, attempts)
    private val policy = AcquisitionPolicy(settings, clock, tables, failoverRequests, failbackDelay)
    private val acquisition =
        ShardAcquisition(clock, tables, policy, attempts, acquirer, reachability, unreachableOwners)

    /** Acquires the shards that are due; called periodically while the store answers. */
    fun runOnce(now: Long) = acquisition.runOnce(now)

    /** Called periodically while this controller gets no answers from the store. */
    fun onStoreUnreachable(now: Long) = unreachableOwners.onStoreUnreachable(now)

    /** Called when a worker has sent a heartbeat to this controller. */
    fun onWorkerContact() = reachability.recordContact()

    /** See [UnreachableOwnerDetector.redirectTarget]. */
    fun redirectTarget(shard: ShardId, machineName: String, addr: String): String? =
        unreachableOwners.redirectTarget(shard, machineName, addr)

    /** Called when an owner has asked the other controllers to acquire its shard. */
    fun onFailoverRequest(message: PeerMessage.FailoverRequest) = failoverRequests.record(message, clock.now())

    /** See [ShardAcquisition.renewToken]. */
    fun renewToken(shard: ShardId) = acquisition.renewToken(shard)

    /** See [ShardAcquisition.reload]. */
    fun reload(shard: ShardId) = acquisition.reload(shard)

    /** Called when the record of [shard] has changed from [previous] to [current]. */
    fun onShardRecordChanged(shard: ShardId, previous: StoredShardRecord?, current: StoredShardRecord) {
        val record = current.record
        if (previous?.record?.owner != record.owner) unreachableOwners.onNewOwner(shard)
        if (acquirer.confirmedByWatch(shard, current)) return
        val owner = owners[shard] ?: return
        if (record.owner == settings.label) owner.sync(record, current.version) else onLost(owner, record)
    }

    /** Drops [owner] because another controller has acquired its shard. */
    private fun onLost(owner: ShardOwner, record: ShardRecord) {
        if (!owner.dropped) {
            log.info("shard {}: acquired by {}, token {}", owner.index.value, record.owner, record.token)
            if (!tables.rollout.isDraining) failbackDelay.onAcquiredByAnother(clock.now())
        }
        owners.drop(owner.index)
    }
}

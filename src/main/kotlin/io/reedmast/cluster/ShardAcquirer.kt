package io.reedmast.cluster

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.Write
import io.reedmast.model.FencingToken
import io.reedmast.model.ShardRecord
import io.reedmast.ports.KeyValueStore
import io.reedmast.settings.Settings
import io.reedmast.settings.ShardId
import org.slf4j.LoggerFactory

/**
 * Acquires shards: stores this controller as the owner under a fresh token, on condition that the shard's record, the
 * token counter and the rollout's gates are all unchanged (PROTOCOL, Tokens).
 */
internal class ShardAcquirer(
    private val settings: Settings,
    private val store: KeyValueStore,
    private val shards: ShardTable,
    private val owners: ShardOwners,
    private val rollout: ClusterRollout,
    private val attempts: AcquisitionAttempts,
    private val restorer: ShardRestorer,
    /** Reads a key again after a transaction that was not applied. */
    private val reread: (String) -> Unit,
) {
    private val log = LoggerFactory.getLogger("cluster")

    /** The record with which this controller is acquiring a shard. */
    private class PendingAcquisition(val shard: ShardId, val record: ShardRecord)

    /** The acquisition whose outcome is not known yet; at most one, since two would both need the next token. */
    private var pending: PendingAcquisition? = null

    /** Acquires [shard], unless it is already being acquired or restored, or another acquisition is pending. */
    fun acquire(shard: ShardId, reason: AcquisitionReason) {
        logReason(shard, reason)
        if (attempts.isInProgress(shard) || pending != null) return
        attempts.begin(shard)
        val acquisition =
            PendingAcquisition(shard, ShardRecord(settings.label, FencingToken.firstOfNextRange(shards.token)))
        pending = acquisition
        commit(acquisition)
    }

    private fun logReason(shard: ShardId, reason: AcquisitionReason) = when (reason) {
        is AcquisitionReason.WorkersCannotReachOwner ->
            log.info("shard {}: its workers cannot reach its owner {}", shard.value, reason.owner)

        AcquisitionReason.HigherTokenSeen ->
            log.info("shard {}: reacquisition needed, a worker has seen a higher token", shard.value)

        AcquisitionReason.OversizedRecords ->
            log.info("shard {}: reacquisition needed to store its progress in smaller parts", shard.value)

        // The log line of the completed acquisition is sufficient.
        AcquisitionReason.Unowned,
        AcquisitionReason.OwnShardNotServed,
        is AcquisitionReason.OwnerAbsent,
        AcquisitionReason.FailoverRequested,
        AcquisitionReason.Failback,
        -> Unit
    }

    private fun commit(acquisition: PendingAcquisition) {
        val key = Keys.shard(acquisition.shard.value)
        val stored = shards.records[acquisition.shard.value]
        // The condition on the gates keeps a process that has missed a gate change from acquiring a shard whose records
        // it may not be able to read.
        val counter = TokenCounter.updateTo(acquisition.record.token, shards.tokenVersion, rollout.gates)
        val preconditions = counter.preconditions + Precondition(key, stored?.version ?: 0L)
        val writes = listOf(Write.Put(key, acquisition.record.toFields()), counter.write)
        store.commit(CasTransaction(preconditions, writes) { outcome -> onOutcome(acquisition, outcome) })
    }

    private fun onOutcome(acquisition: PendingAcquisition, outcome: CommitOutcome) {
        if (pending !== acquisition) return
        pending = null
        if (outcome is CommitOutcome.Applied) {
            onAcquired(acquisition.shard, StoredShardRecord(acquisition.record, outcome.revision))
            return
        }
        // In most cases another controller has taken the token that this acquisition needed.
        attempts.retrySoon(acquisition.shard)
        reread(Keys.shard(acquisition.shard.value))
        reread(Keys.TOKEN_COUNTER)
        if (outcome is CommitOutcome.Conflict && Keys.ROLLOUT in outcome.failedPaths) rollout.refreshGates()
    }

    /**
     * Called with each newer record of [shard]. If it is the record of the pending acquisition, completes the
     * acquisition and returns true. The answer to the transaction may be lost and its outcome stay unknown for seconds,
     * during which this controller's previous `ShardOwner` would act under the new term.
     */
    fun confirmedByWatch(shard: ShardId, stored: StoredShardRecord): Boolean {
        val acquisition = pending ?: return false
        if (acquisition.shard != shard || acquisition.record != stored.record) return false
        pending = null
        onAcquired(shard, stored)
        return true
    }

    private fun onAcquired(shard: ShardId, acquired: StoredShardRecord) {
        val known = shards.records[shard.value]
        if (known != null && known.version > acquired.version) {
            // The outcome became known late; another controller has acquired the shard in the meantime.
            attempts.retrySoon(shard)
            return
        }
        owners.drop(shard)
        shards.applyToken(acquired.record.token, acquired.version)
        shards.applyShard(shard, acquired.record, acquired.version)
        restorer.restore(owners.replace(shard, acquired))
    }
}

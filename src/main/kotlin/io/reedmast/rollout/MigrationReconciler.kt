package io.reedmast.rollout

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.ListResult
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.ReadResult
import io.reedmast.kvstore.StoredItem
import io.reedmast.kvstore.Write
import io.reedmast.kvstore.WritePriority
import io.reedmast.wire.BodyCodec
import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import io.reedmast.wire.StoreMessages
import org.slf4j.LoggerFactory
import java.util.ArrayDeque

/**
 * Converts the records of one [unit] to the format that the gates require, one record at a time.
 *
 * It compares the gates with the stored progress and works on the difference, and so continues where any process
 * stopped. Each record is written on condition that the record, the gates and the fence given to [runOnce] are
 * unchanged, so that a write that is carried out late fails if one of them has changed. Records that cannot be read are
 * counted and left unchanged.
 *
 * @param valueBytes the maximum size of a value, in bytes
 */
class MigrationReconciler(
    private val unit: MigrationUnit,
    private val registry: FeatureRegistry,
    private val store: RolloutStore,
    private val access: RecordAccess,
    private val pace: MigrationPace,
    private val now: () -> Long,
    private val valueBytes: () -> Int,
) {
    private val log = LoggerFactory.getLogger("rollout")

    /** One pass over the records, for one version of the gates and under one fence. */
    private class Pass(
        val feature: Feature,
        val migration: RecordMigration,
        val gates: GateSnapshot,
        val fence: Precondition,
        var progress: MigrationProgress,
    ) {
        /** Keys still to be processed; null until they have been listed. */
        var pendingKeys: ArrayDeque<String>? = null
        var progressVersion = 0L
        var processedSinceSave = 0
    }

    private var pass: Pass? = null
    private var isBusy = false
    private var nextRunAt = 0L
    private var writeRegardlessAt = now() + pace.maxRecordDelayMs
    private val retryAt = HashMap<FeatureName, Long>()

    /** Whether a request is in flight; if it is a write, the stored state is uncertain until its outcome is known. */
    val isWriteInFlight: Boolean get() = isBusy

    /** Performs the next step. [fence] ensures that this process may still write the unit's records. */
    fun runOnce(gates: GateSnapshot, fence: Precondition, view: RolloutView) {
        if (isBusy || now() < nextRunAt) return
        val current =
            pass?.takeIf { it.gates.version == gates.version && it.fence == fence } ?: startPass(gates, fence, view)
        pass = current
        if (current == null) return
        nextRunAt = now() + pace.recordIntervalMs
        val pendingKeys = current.pendingKeys
        if (pendingKeys == null) listKeys(current) else processNext(current, pendingKeys)
    }

    private fun mayWrite() = store.writePermitLevel() >= pace.minPermitLevel || now() >= writeRegardlessAt

    private fun startPass(gates: GateSnapshot, fence: Precondition, view: RolloutView): Pass? =
        registry.inOrder.firstNotNullOfOrNull { feature ->
            val migration = feature.migration?.takeIf { appliesToUnit(it) } ?: return@firstNotNullOfOrNull null
            val gate = gates.record.gates[feature.name] ?: return@firstNotNullOfOrNull null
            val direction = Direction.of(gate.state) ?: return@firstNotNullOfOrNull null
            if (now() < (retryAt[feature.name] ?: 0L)) return@firstNotNullOfOrNull null
            val stored = view.progressOf(feature.name, unit)
            val resumable = stored?.progress?.takeIf { it.generation == gate.generation && it.direction == direction }
            if (resumable?.complete == true) return@firstNotNullOfOrNull null
            val startingProgress =
                resumable?.let { startingProgressFrom(it) } ?: MigrationProgress(direction, gate.generation)
            Pass(feature, migration, gates, fence, startingProgress).apply { progressVersion = stored?.version ?: 0L }
        }

    /** A pass that starts from the first record counts unreadable and oversized records anew. */
    private fun startingProgressFrom(progress: MigrationProgress) =
        if (progress.lastKey.isEmpty()) progress.copy(unreadable = 0, oversized = 0) else progress

    private fun appliesToUnit(migration: RecordMigration) = when (unit) {
        MigrationUnit.Cluster -> migration.scope == MigrationScope.CLUSTER
        is MigrationUnit.Shard -> migration.scope == MigrationScope.SHARD
    }

    private fun listKeys(current: Pass) {
        isBusy = true
        store.list(current.migration.prefix((unit as? MigrationUnit.Shard)?.index ?: 0)) { result ->
            isBusy = false
            if (result is ListResult.Listing) {
                current.pendingKeys = result.items
                    .map { it.path }
                    .filterTo(ArrayDeque()) { it > current.progress.lastKey }
            }
        }
    }

    private fun processNext(current: Pass, pendingKeys: ArrayDeque<String>) {
        val path = pendingKeys.peek()
        if (path == null) {
            finish(current)
            return
        }
        if (current.processedSinceSave >= RECORDS_PER_SAVE) {
            saveProgress(current, current.progress)
            return
        }
        isBusy = true
        store.get(path) { fetched ->
            isBusy = false
            when (fetched) {
                is ReadResult.Found -> migrate(current, fetched.item)
                ReadResult.Missing -> markProcessed(current, path) { it }
                ReadResult.Failed -> Unit
            }
        }
    }

    private fun migrate(current: Pass, item: StoredItem) {
        val record = StoreMessages.withoutTransactionId(item.value)
        val convertedRecord = try {
            when (current.progress.direction) {
                Direction.FORWARD -> current.migration.forward(record)
                Direction.BACKWARD -> current.migration.backward(record)
            }
        } catch (e: MalformedException) {
            log.error(
                "feature {}: leaving unreadable record {} unchanged: {}",
                current.feature.name,
                item.path,
                e.message,
            )
            markProcessed(current, item.path) { it.copy(unreadable = it.unreadable + 1) }
            return
        }
        when {
            convertedRecord == record -> markProcessed(current, item.path) { it }
            BodyCodec.jsonSize(convertedRecord) + TRANSACTION_ID_BYTES > valueBytes() ->
                markProcessed(current, item.path) { it.copy(oversized = it.oversized + 1) }
            !mayWrite() -> nextRunAt = now() + LOW_PERMITS_DELAY_MS
            access.tryAcquire(item.path) -> write(current, item, convertedRecord)
        }
    }

    private fun write(current: Pass, item: StoredItem, convertedRecord: Fields) {
        isBusy = true
        writeRegardlessAt = now() + pace.maxRecordDelayMs
        val unchanged = Precondition(item.path, item.version)
        val preconditions = listOf(current.fence, current.gates.precondition, unchanged).distinct()
        store.commit(
            CasTransaction(
                preconditions,
                listOf(Write.Put(item.path, convertedRecord)),
                WritePriority.DEFERRED,
            ) { outcome ->
                isBusy = false
                access.release(item.path, (outcome as? CommitOutcome.Applied)?.revision)
                when (outcome) {
                    is CommitOutcome.Applied -> markProcessed(current, item.path) {
                        it.copy(migrated = it.migrated + 1)
                    }

                    // The record has changed and is read again, or the gates or the fence have and the pass ends.
                    is CommitOutcome.Conflict -> Unit

                    is CommitOutcome.Refused -> markProcessed(current, item.path) {
                        it.copy(oversized = it.oversized + 1)
                    }
                }
            },
        )
    }

    private fun markProcessed(current: Pass, path: String, update: (MigrationProgress) -> MigrationProgress) {
        current.pendingKeys?.remove(path)
        current.progress = update(current.progress).copy(lastKey = path)
        current.processedSinceSave++
    }

    /** A pass that left records unconverted does not complete the migration: the next pass checks all records again. */
    private fun finish(current: Pass) {
        val blocked = current.progress.unreadable + current.progress.oversized > 0
        val finalProgress = if (blocked) current.progress.copy(lastKey = "") else current.progress.copy(complete = true)
        saveProgress(current, finalProgress) {
            pass = null
            if (blocked) {
                retryAt[current.feature.name] = now() + RETRY_BLOCKED_MS
                log.error(
                    "feature {}: migration not complete: {} unreadable and {} oversized records left in unit {}",
                    current.feature.name,
                    finalProgress.unreadable,
                    finalProgress.oversized,
                    unit.key,
                )
            } else {
                log.info(
                    "feature {}: migrated {} records of unit {} {}",
                    current.feature.name,
                    finalProgress.migrated,
                    unit.key,
                    finalProgress.direction.storedName,
                )
            }
        }
    }

    private fun saveProgress(current: Pass, progress: MigrationProgress, onSaved: () -> Unit = {}) {
        isBusy = true
        val path = Keys.migration(current.feature.name.value, unit.key)
        val unchanged = Precondition(path, current.progressVersion)
        val preconditions = listOf(current.fence, current.gates.precondition, unchanged)
        store.commit(
            CasTransaction(
                preconditions,
                listOf(Write.Put(path, progress.toFields())),
                WritePriority.DEFERRED,
            ) { outcome ->
                isBusy = false
                if (outcome is CommitOutcome.Applied) {
                    current.progressVersion = outcome.revision
                    current.processedSinceSave = 0
                    onSaved()
                } else {
                    // Another process has stored later progress, or the answer to an own write was lost. The watch
                    // delivers the stored progress.
                    pass = null
                    nextRunAt = now() + CONFLICT_DELAY_MS
                }
            },
        )
    }

    private companion object {
        const val RECORDS_PER_SAVE = 16
        const val RETRY_BLOCKED_MS = 30_000L
        const val CONFLICT_DELAY_MS = 1_000L
        const val LOW_PERMITS_DELAY_MS = 500L

        /** By how much a value grows when it is stored: the transaction's id is added to it. */
        const val TRANSACTION_ID_BYTES = 64
    }
}

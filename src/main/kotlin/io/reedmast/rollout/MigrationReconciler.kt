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
 * Brings the records of one [unit] to the form that the gates want, one record at a time.
 *
 * It compares what is wanted with the stored progress and works on the difference, so that it goes on where any process
 * stopped. Each record is written on condition that it, the gates and the fence given to [runOnce] are unchanged: a
 * write that is carried out late finds that one of them has moved. Records that cannot be read are counted and left
 * alone.
 *
 * @param valueBytes what a value may hold
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

    /** One pass over the records, for one generation of a gate and under one fence. */
    private class Pass(
        val feature: Feature,
        val migration: RecordMigration,
        val gates: GateSnapshot,
        val fence: Precondition,
        var progress: MigrationProgress,
    ) {
        /** Keys that are yet to be dealt with; null until they have been listed. */
        var keys: ArrayDeque<String>? = null
        var progressVersion = 0L
        var sinceSaved = 0
    }

    private var pass: Pass? = null
    private var busy = false
    private var due = 0L
    private var overdueAt = now() + pace.maxRecordDelayMs
    private val retryAt = HashMap<FeatureName, Long>()

    /** Whether a write of this migration is on its way, so that what is stored is not certain. */
    val isWriteInFlight: Boolean get() = busy

    /** Does the next piece of work. [fence] proves that this process may still write the unit's records. */
    fun runOnce(gates: GateSnapshot, fence: Precondition, view: RolloutView) {
        if (busy || now() < due) return
        val current =
            pass?.takeIf { it.gates.version == gates.version && it.fence == fence } ?: begin(gates, fence, view)
        pass = current
        if (current == null) return
        due = now() + pace.recordIntervalMs
        val keys = current.keys
        if (keys == null) list(current) else next(current, keys)
    }

    private fun isAffordable() = store.writePermitLevel() >= pace.minPermitLevel || now() >= overdueAt

    private fun begin(gates: GateSnapshot, fence: Precondition, view: RolloutView): Pass? =
        registry.inOrder.firstNotNullOfOrNull { feature ->
            val migration = feature.migration?.takeIf { concerns(it) } ?: return@firstNotNullOfOrNull null
            val gate = gates.record.gates[feature.name] ?: return@firstNotNullOfOrNull null
            val direction = Direction.of(gate.state) ?: return@firstNotNullOfOrNull null
            if (now() < (retryAt[feature.name] ?: 0L)) return@firstNotNullOfOrNull null
            val stored = view.progressOf(feature.name, unit)
            val resumable = stored?.progress?.takeIf { it.generation == gate.generation && it.direction == direction }
            if (resumable?.complete == true) return@firstNotNullOfOrNull null
            val startingProgress = resumable?.let { resumed(it) } ?: MigrationProgress(direction, gate.generation)
            Pass(feature, migration, gates, fence, startingProgress).apply { progressVersion = stored?.version ?: 0L }
        }

    /** A pass from the beginning counts anew what it cannot migrate. */
    private fun resumed(progress: MigrationProgress) =
        if (progress.after.isEmpty()) progress.copy(unreadable = 0, oversized = 0) else progress

    private fun concerns(migration: RecordMigration) = when (unit) {
        MigrationUnit.Cluster -> migration.scope == MigrationScope.CLUSTER
        is MigrationUnit.Shard -> migration.scope == MigrationScope.SHARD
    }

    private fun list(current: Pass) {
        busy = true
        store.list(current.migration.prefix((unit as? MigrationUnit.Shard)?.index ?: 0)) { result ->
            busy = false
            if (result is ListResult.Listing) {
                current.keys = result.items
                    .map { it.path }
                    .filterTo(ArrayDeque()) { it > current.progress.after }
            }
        }
    }

    private fun next(current: Pass, keys: ArrayDeque<String>) {
        val path = keys.peek()
        if (path == null) {
            finish(current)
            return
        }
        if (current.sinceSaved >= SAVE_EVERY) {
            save(current, current.progress)
            return
        }
        busy = true
        store.get(path) { fetched ->
            busy = false
            when (fetched) {
                is ReadResult.Found -> migrate(current, fetched.item)
                ReadResult.Missing -> recordDone(current, path) { it }
                ReadResult.Failed -> Unit
            }
        }
    }

    private fun migrate(current: Pass, item: StoredItem) {
        val record = StoreMessages.withoutTransactionId(item.value)
        val targetForm = try {
            when (current.progress.direction) {
                Direction.FORWARD -> current.migration.forward(record)
                Direction.BACKWARD -> current.migration.backward(record)
            }
        } catch (e: MalformedException) {
            log.error(
                "feature {}: record {} cannot be read and is left as it is: {}",
                current.feature.name,
                item.path,
                e.message,
            )
            recordDone(current, item.path) { it.copy(unreadable = it.unreadable + 1) }
            return
        }
        when {
            targetForm == record -> recordDone(current, item.path) { it }
            BodyCodec.jsonSize(targetForm) + TRANSACTION_ID_BYTES > valueBytes() ->
                recordDone(current, item.path) { it.copy(oversized = it.oversized + 1) }
            !isAffordable() -> due = now() + AFTER_REFUSAL_MS
            access.tryAcquire(item.path) -> write(current, item, targetForm)
        }
    }

    private fun write(current: Pass, item: StoredItem, targetForm: Fields) {
        busy = true
        overdueAt = now() + pace.maxRecordDelayMs
        val unchanged = Precondition(item.path, item.version)
        val preconditions = listOf(current.fence, current.gates.precondition, unchanged).distinct()
        store.commit(
            CasTransaction(preconditions, listOf(Write.Put(item.path, targetForm)), WritePriority.DEFERRED) { outcome ->
                busy = false
                access.release(item.path, (outcome as? CommitOutcome.Applied)?.revision)
                when (outcome) {
                    is CommitOutcome.Applied -> recordDone(current, item.path) { it.copy(migrated = it.migrated + 1) }

                    // The record has moved on, and is read again; or the gates or the fence have, and the pass is over.
                    is CommitOutcome.Conflict -> Unit

                    is CommitOutcome.Refused -> recordDone(current, item.path) { it.copy(oversized = it.oversized + 1) }
                }
            },
        )
    }

    private fun recordDone(current: Pass, path: String, count: (MigrationProgress) -> MigrationProgress) {
        current.keys?.remove(path)
        current.progress = count(current.progress).copy(after = path)
        current.sinceSaved++
    }

    /** A pass that left records as they were has not reached its end: the next one looks at all of them again. */
    private fun finish(current: Pass) {
        val blocked = current.progress.unreadable + current.progress.oversized > 0
        val ended = if (blocked) current.progress.copy(after = "") else current.progress.copy(complete = true)
        save(current, ended) {
            pass = null
            if (blocked) {
                retryAt[current.feature.name] = now() + RETRY_BLOCKED_MS
                log.error(
                    "feature {}: {} unreadable and {} oversized records of {} are left",
                    current.feature.name,
                    ended.unreadable,
                    ended.oversized,
                    unit.key,
                )
            } else {
                log.info(
                    "feature {}: {} records of {} migrated {}",
                    current.feature.name,
                    ended.migrated,
                    unit.key,
                    ended.direction.storedName,
                )
            }
        }
    }

    private fun save(current: Pass, progress: MigrationProgress, then: () -> Unit = {}) {
        busy = true
        val path = Keys.migration(current.feature.name.value, unit.key)
        val unchanged = Precondition(path, current.progressVersion)
        val preconditions = listOf(current.fence, current.gates.precondition, unchanged)
        store.commit(
            CasTransaction(
                preconditions,
                listOf(Write.Put(path, progress.toFields())),
                WritePriority.DEFERRED,
            ) { outcome ->
                busy = false
                if (outcome is CommitOutcome.Applied) {
                    current.progressVersion = outcome.revision
                    current.sinceSaved = 0
                    then()
                } else {
                    // Somebody else has come further, or the answer to our own was lost: what is stored is read by the
                    // watch.
                    pass = null
                    due = now() + AFTER_CONFLICT_MS
                }
            },
        )
    }

    private companion object {
        const val SAVE_EVERY = 16
        const val RETRY_BLOCKED_MS = 30_000L
        const val AFTER_CONFLICT_MS = 1_000L
        const val AFTER_REFUSAL_MS = 500L

        /** What a value grows by when it is stored. */
        const val TRANSACTION_ID_BYTES = 64
    }
}

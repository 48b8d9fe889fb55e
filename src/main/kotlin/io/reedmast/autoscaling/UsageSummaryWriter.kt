package io.reedmast.autoscaling

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.ReadResult
import io.reedmast.kvstore.StoredItem
import io.reedmast.kvstore.Write
import io.reedmast.kvstore.WritePriority
import io.reedmast.model.ShardState
import io.reedmast.ports.KeyValueStore
import io.reedmast.wire.MalformedException
import io.reedmast.wire.map
import org.slf4j.LoggerFactory

/** Stores a shard's [ShardUsageSummary]: every few seconds, and sooner when its demand has changed. */
class UsageSummaryWriter(
    private val shardState: ShardState,
    private val store: KeyValueStore,
    private val demandEstimator: DemandEstimator,
    private val scaleInPolicy: ScaleInPolicy,
    private val machinesVersion: () -> Long,
    /** The shard may have another owner: its record is to be read again. */
    private val termInDoubt: () -> Unit,
) {
    private val log = LoggerFactory.getLogger("shard")
    private val shard = shardState.index
    private val path = Keys.totals(shard.value)
    private var version = 0L
    private var writing = false
    private var due = 0L
    private var lastDemand: List<Demand> = emptyList()
    private var lastWritten = 0L
    private var logDue = 0L

    /** Takes up what an owner before stored. */
    fun load(totals: StoredItem) {
        version = totals.version
        try {
            shardState.usage.load(totals.value.map("usage"))
        } catch (e: MalformedException) {
            log.error("shard {}: usage summary cannot be read: {}", shard.value, e.message)
        }
    }

    fun runOnce(now: Long) {
        if (writing || now - lastWritten < MIN_TOTALS_MS) return
        scaleInPolicy.recordImages()
        val demand = demandEstimator.demand()
        val starving = demandEstimator.starving(now)
        val wanted = demand.isNotEmpty() || lastDemand.isNotEmpty() || starving.isNotEmpty()
        if (now < due && !(wanted && demand != lastDemand)) return
        lastDemand = demand
        lastWritten = now
        logState(now, demand)
        due = now + (shardState.tuning.totalsS * 1000).toLong()
        store(totals(demand, starving, now), if (wanted) WritePriority.URGENT else WritePriority.DEFERRED)
    }

    private fun totals(demand: List<Demand>, starving: List<Starving>, now: Long): ShardUsageSummary {
        val wall = shardState.clock.wall()
        val waiting = shardState.jobs.values.filter { it.pendingCount > 0 }.mapTo(HashSet()) { it.team }
        return ShardUsageSummary(
            shard,
            machinesVersion(),
            shardState.usage.toFields(shardState.teams, maxBuckets()),
            ratio = waiting.minOfOrNull { shardState.ratio(it, wall) } ?: 0.0,
            demand = demand.take(MAX_KINDS),
            idle = scaleInPolicy.movable(now),
            lendable = scaleInPolicy.lendable(now),
            starving = starving,
            unavailableZones = scaleInPolicy.unavailableZones(now),
        ).within(shardState.limits.target.valueBytes * FILLED_PERCENT / 100 - ENVELOPE_BYTES)
    }

    /** Charged use may take a third of the value, whatever it is made of. */
    private fun maxBuckets(): Int = maxOf(
        2,
        shardState.limits.target.valueBytes / 3 / maxOf(1, shardState.teams.size) / BYTES_PER_BUCKET,
    )

    private fun store(totals: ShardUsageSummary, writePriority: WritePriority) {
        writing = true
        val value = totals.toFields() + ("term" to shardState.term)
        val preconditions = listOf(shardState.termPrecondition, Precondition(path, version))
        store.commit(
            CasTransaction(preconditions, listOf(Write.Put(path, value)), writePriority) { outcome ->
                writing = false
                if (shardState.dropped) return@CasTransaction
                if (outcome is CommitOutcome.Applied) version = outcome.revision
                if (outcome is CommitOutcome.Conflict) conflict(outcome.failed)
            },
        )
    }

    private fun conflict(failed: Set<String>) {
        if (Keys.shard(shard.value) in failed) termInDoubt()
        if (path in failed) store.get(path) { if (it is ReadResult.Found) version = it.item.version }
    }

    private fun logState(now: Long, demand: List<Demand>) {
        if (now < logDue) return
        logDue = now + LOG_EVERY_MS
        val (up, coming) = shardState.machines.values.partition { it.usable }
        log.info(
            "shard {}: {} machines, {} not in use, {} CPUs free of {}, {} jobs with {} tasks pending, demand: {}",
            shard.value,
            up.size,
            coming.size,
            up.sumOf { it.freeCpus }.toInt(),
            up.sumOf { it.machineType?.cpus ?: 0.0 }.toInt(),
            shardState.jobs.size,
            shardState.jobs.values.sumOf { it.pendingCount },
            demand.map { "${it.taskCount} of ${"%.1f".format(it.cpus)} CPUs" },
        )
    }

    private companion object {
        const val LOG_EVERY_MS = 15_000L
        const val MIN_TOTALS_MS = 1_000L
        const val MAX_KINDS = 12
        const val FILLED_PERCENT = 95

        /** The term and the transaction's id, which are stored beside the totals. */
        const val ENVELOPE_BYTES = 80
        const val BYTES_PER_BUCKET = 20
    }
}

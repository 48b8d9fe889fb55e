package io.reedmast.fleet

import io.reedmast.jobs.ShardState
import io.reedmast.ports.Gateway
import io.reedmast.state.Change
import io.reedmast.state.Fetched
import io.reedmast.state.Guard
import io.reedmast.state.Item
import io.reedmast.state.Keys
import io.reedmast.state.Outcome
import io.reedmast.state.Write
import io.reedmast.state.WritePriority
import io.reedmast.wire.MalformedException
import io.reedmast.wire.map
import org.slf4j.LoggerFactory

/** Stores a shard's [ShardUsageSummary]: every few seconds, and sooner when its demand has changed. */
class UsageSummaryWriter(
    private val shardState: ShardState,
    private val out: Gateway,
    private val demandEstimator: DemandEstimator,
    private val spareMachines: SpareMachines,
    private val hostsVersion: () -> Long,
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
    fun load(totals: Item) {
        version = totals.version
        try {
            shardState.usage.load(totals.value.map("usage"))
        } catch (e: MalformedException) {
            log.error("shard {}: stored totals cannot be read: {}", shard.value, e.message)
        }
    }

    fun tick(now: Long) {
        if (writing || now - lastWritten < MIN_TOTALS_MS) return
        spareMachines.noteImages()
        val demand = demandEstimator.demand()
        val starving = demandEstimator.starving(now)
        val wanted = demand.isNotEmpty() || lastDemand.isNotEmpty() || starving.isNotEmpty()
        if (now < due && !(wanted && demand != lastDemand)) return
        lastDemand = demand
        lastWritten = now
        logState(now, demand)
        due = now + (shardState.tuning.totalsS * 1000).toLong()
        store(totals(demand, starving, now), if (wanted) WritePriority.PROMPT else WritePriority.LAZY)
    }

    private fun totals(demand: List<Demand>, starving: List<Starving>, now: Long): ShardUsageSummary {
        val wall = shardState.clock.wall()
        val waiting = shardState.jobs.values.filter { it.waitingCount > 0 }.mapTo(HashSet()) { it.team }
        return ShardUsageSummary(
            shard,
            hostsVersion(),
            shardState.usage.toFields(shardState.teams, mostBuckets()),
            ratio = waiting.minOfOrNull { shardState.ratio(it, wall) } ?: 0.0,
            demand = demand.take(MAX_KINDS),
            idle = spareMachines.movable(now),
            lendable = spareMachines.lendable(now),
            starving = starving,
            darkZones = spareMachines.darkZones(now),
        ).within(shardState.limits.target.valueBytes * FILLED_PERCENT / 100 - ENVELOPE_BYTES)
    }

    /** Charged use may take a third of the value, whatever it is made of. */
    private fun mostBuckets(): Int = maxOf(2, shardState.limits.target.valueBytes / 3 / maxOf(1, shardState.teams.size) / BYTES_PER_BUCKET)

    private fun store(totals: ShardUsageSummary, writePriority: WritePriority) {
        writing = true
        val value = totals.toFields() + ("term" to shardState.term)
        val guards = listOf(shardState.termGuard, Guard(path, version))
        out.commit(
            Change(guards, listOf(Write.Put(path, value)), writePriority) { outcome ->
                writing = false
                if (shardState.dropped) return@Change
                if (outcome is Outcome.Applied) version = outcome.revision
                if (outcome is Outcome.Conflict) conflict(outcome.failed)
            },
        )
    }

    private fun conflict(failed: Set<String>) {
        if (Keys.shard(shard.value) in failed) termInDoubt()
        if (path in failed) out.get(path) { if (it is Fetched.Found) version = it.item.version }
    }

    private fun logState(now: Long, demand: List<Demand>) {
        if (now < logDue) return
        logDue = now + LOG_EVERY_MS
        val (up, coming) = shardState.machines.values.partition { it.usable }
        log.info(
            "shard {}: {} machines, {} not in use, {} CPUs free of {}, {} jobs with {} tasks waiting, wanted: {}",
            shard.value,
            up.size,
            coming.size,
            up.sumOf { it.freeCpus }.toInt(),
            up.sumOf { it.machineType?.cpus ?: 0.0 }.toInt(),
            shardState.jobs.size,
            shardState.jobs.values.sumOf { it.waitingCount },
            demand.map { "${it.count} of ${"%.1f".format(it.cpus)} CPUs" },
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

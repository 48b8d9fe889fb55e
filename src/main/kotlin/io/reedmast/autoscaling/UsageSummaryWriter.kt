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
    /** The version of the newest change to the shard's machines that this controller knows. */
    private val machinesVersion: () -> Long,
    /** Called when the shard may have another owner, so that its record has to be read again. */
    private val onTermInDoubt: () -> Unit,
) {
    private val log = LoggerFactory.getLogger("shard")
    private val shard = shardState.index
    private val path = Keys.usageSummary(shard.value)
    private val drainCandidates = DrainCandidates(shardState)
    private val zoneAvailability = ZoneAvailability(shardState)
    private val demandRotation = DemandRotation()
    private var storedVersion = 0L
    private var writing = false
    private var writeDueAt = 0L
    private var lastDemand: List<Demand> = emptyList()
    private var lastWrittenAt = 0L
    private var logDueAt = 0L
    private var omittedLogDueAt = 0L

    /** Loads the charged usage and the version from the previous owner's summary. Logs one that cannot be read. */
    fun load(stored: StoredItem) {
        storedVersion = stored.version
        try {
            shardState.fairShare.usage.load(stored.value.map("usage"))
        } catch (e: MalformedException) {
            log.error("shard {}: usage summary cannot be read: {}", shard.value, e.message)
        }
    }

    /** Called periodically: stores the summary if it is due at [now], in milliseconds. */
    fun runOnce(now: Long) {
        if (writing || now - lastWrittenAt < MIN_WRITE_INTERVAL_MS) return
        scaleInPolicy.updateMeanImageSize()
        val demand = demandEstimator.demand()
        val starvingJobs = demandEstimator.starvingJobs(now)
        val isUrgent = demand.isNotEmpty() || lastDemand.isNotEmpty() || starvingJobs.isNotEmpty()
        if (now < writeDueAt && !(isUrgent && demand != lastDemand)) return
        lastDemand = demand
        lastWrittenAt = now
        logState(now, demand)
        writeDueAt = now + (shardState.tuning.usageSummaryIntervalS * MS_PER_S).toLong()
        store(summary(demand, starvingJobs, now), if (isUrgent) WritePriority.URGENT else WritePriority.DEFERRED)
    }

    /** The summary, with as much of the demand as fits; what does not fit is in the next ones. */
    private fun summary(demand: List<Demand>, starvingJobs: List<StarvingJob>, now: Long): ShardUsageSummary {
        val rotated = demandRotation.rotate(demand)
        val summary = completeSummary(rotated, starvingJobs, now).truncatedTo(maxBytes())
        demandRotation.recordIncluded(rotated, summary.demand.size)
        logOmitted(summary.demand.size, demand.size, now)
        return summary
    }

    private fun logOmitted(includedKinds: Int, kinds: Int, now: Long) {
        if (includedKinds == kinds || now < omittedLogDueAt) return
        omittedLogDueAt = now + LOG_INTERVAL_MS
        log.info("shard {}: usage summary holds {} of {} kinds of demand", shard.value, includedKinds, kinds)
    }

    private fun maxBytes(): Int = shardState.limits.target.valueBytes * MAX_FILLED_PERCENT / PERCENT - ENVELOPE_BYTES

    private fun completeSummary(demand: List<Demand>, starvingJobs: List<StarvingJob>, now: Long) = ShardUsageSummary(
        shard,
        machinesVersion(),
        shardState.fairShare.usage.toFields(shardState.teams, maxBuckets()),
        ratio = lowestRatio(),
        demand = demand.take(MAX_DEMAND_KINDS),
        idle = scaleInPolicy.transferable(now),
        drainable = drainCandidates.select(now),
        starvingJobs = starvingJobs,
        unavailableZones = zoneAvailability.unavailableZones(now),
    )

    /** The fair-share ratio of the team with pending tasks that is furthest below its share; 0 if there is none. */
    private fun lowestRatio(): Double {
        val wallMs = shardState.clock.wallTime()
        val waitingTeams = shardState.jobs.values.filter { it.pendingCount > 0 }.mapTo(HashSet()) { it.team }
        return waitingTeams.minOfOrNull { shardState.fairShare.usageRatio(it, wallMs) } ?: 0.0
    }

    /** Into how many buckets each team's charged usage may be split: all buckets may take a third of the value. */
    private fun maxBuckets(): Int {
        val bytesPerTeam = shardState.limits.target.valueBytes / USAGE_DIVISOR / maxOf(1, shardState.teams.size)
        return maxOf(MIN_BUCKETS, bytesPerTeam / BYTES_PER_BUCKET)
    }

    private fun store(summary: ShardUsageSummary, writePriority: WritePriority) {
        writing = true
        val value = summary.toFields() + ("term" to shardState.term)
        val preconditions = listOf(shardState.termPrecondition, Precondition(path, storedVersion))
        store.commit(
            CasTransaction(preconditions, listOf(Write.Put(path, value)), writePriority) { outcome ->
                writing = false
                if (shardState.dropped) return@CasTransaction
                if (outcome is CommitOutcome.Applied) storedVersion = outcome.revision
                if (outcome is CommitOutcome.Conflict) onConflict(outcome.failedPaths)
            },
        )
    }

    private fun onConflict(failedPaths: Set<String>) {
        if (Keys.shard(shard.value) in failedPaths) onTermInDoubt()
        if (path in failedPaths) store.get(path) { if (it is ReadResult.Found) storedVersion = it.item.version }
    }

    private fun logState(now: Long, demand: List<Demand>) {
        if (now < logDueAt) return
        logDueAt = now + LOG_INTERVAL_MS
        val (usable, unusable) = shardState.machines.values.partition { it.usable }
        log.info(
            "shard {}: {} usable machines, {} unusable, {} CPUs free of {}, {} jobs with {} tasks pending, demand: {}",
            shard.value,
            usable.size,
            unusable.size,
            usable.sumOf { it.freeCpus }.toInt(),
            usable.sumOf { it.machineType?.cpus ?: 0.0 }.toInt(),
            shardState.jobs.size,
            shardState.jobs.values.sumOf { it.pendingCount },
            demand.map { "${it.taskCount} of ${"%.1f".format(it.meanCpus)} CPUs" },
        )
    }

    private companion object {
        const val LOG_INTERVAL_MS = 15_000L
        const val MIN_WRITE_INTERVAL_MS = 1_000L

        /** The maximum number of kinds of demand in a summary. */
        const val MAX_DEMAND_KINDS = 12

        /** The percentage of a stored value's maximum size that the summary may fill. */
        const val MAX_FILLED_PERCENT = 95
        const val PERCENT = 100

        /** Space for the term and the transaction's id, which are stored beside the summary. */
        const val ENVELOPE_BYTES = 80

        /** Charged usage may take the value's maximum size divided by this, whatever it consists of. */
        const val USAGE_DIVISOR = 3
        const val MIN_BUCKETS = 2
        const val BYTES_PER_BUCKET = 20
    }
}

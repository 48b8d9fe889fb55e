package io.reedmast.scheduling

import io.reedmast.model.ShardState
import org.slf4j.LoggerFactory

/** Logs, at intervals, that jobs with pending tasks were held back by [io.reedmast.model.PlacementLimits]. */
internal class PlacementLimitLog(private val shardState: ShardState) {
    private val log = LoggerFactory.getLogger("shard")
    private var nextAtMs = 0L

    /** Logs what [pass] has held back, if a line is due. */
    fun record(pass: SchedulingPass) {
        if (pass.jobsHeldBack.isEmpty() || pass.nowMs < nextAtMs) return
        nextAtMs = pass.nowMs + INTERVAL_MS
        log.info(
            "shard {}: {} jobs have their share of placements: {} in all, {} waiting to be stored",
            shardState.index.value,
            pass.jobsHeldBack.size,
            shardState.placementLimits.placedCount,
            shardState.placementLimits.unstoredCount,
        )
    }

    private companion object {
        const val INTERVAL_MS = 10_000L
    }
}

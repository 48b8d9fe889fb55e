package io.reedmast.shard

import io.reedmast.model.ShardState

/** Charges the teams of a shard, about once a second, for the work that has run since the last charge. */
internal class UsageCharging(private val shardState: ShardState) {
    private var chargedAt = 0L

    /** Charges the time up to [now] if enough of it has passed. */
    fun runIfDue(now: Long) {
        val seconds = (now - chargedAt) / MS_PER_S
        if (seconds < INTERVAL_S) return
        chargedAt = now
        // On the first call, or after a long pause, it is not known what ran in the meantime.
        if (seconds > MAX_CHARGED_S) return
        shardState.fairShare.charge(shardState.machines.values, seconds)
    }

    private companion object {
        const val MS_PER_S = 1000.0
        const val INTERVAL_S = 1.0
        const val MAX_CHARGED_S = 60.0
    }
}

package io.reedmast.cluster

import io.reedmast.ports.Clock
import io.reedmast.settings.Settings
import io.reedmast.settings.ShardId

/** Tracks which shards are being acquired or restored, and for each shard until when no new attempt is made. */
internal class AcquisitionAttempts(private val settings: Settings, private val clock: Clock) {
    private val inProgress = BooleanArray(settings.shardCount)
    private val notBefore = LongArray(settings.shardCount)

    /** Whether [shard] is being acquired, or its state is being read after the acquisition. */
    fun isInProgress(shard: ShardId): Boolean = inProgress[shard.value]

    /** Whether it is too early at [now] for a new attempt to acquire [shard]. */
    fun isPaused(shard: ShardId, now: Long): Boolean = now <= notBefore[shard.value]

    /** Marks [shard] as being acquired, and delays the next attempt by [REACQUIRE_INTERVAL_MS]. */
    fun begin(shard: ShardId) {
        inProgress[shard.value] = true
        notBefore[shard.value] = clock.now() + REACQUIRE_INTERVAL_MS
    }

    /** Marks the acquisition of [shard] as finished, whether or not its state could be read. */
    fun end(shard: ShardId) {
        inProgress[shard.value] = false
    }

    /**
     * Ends a failed acquisition of [shard] and schedules a retry. The delay is short because every second counts after
     * a restart of all controllers, and depends on this controller's index so that the controllers do not all retry at
     * the same moment.
     */
    fun retrySoon(shard: ShardId) {
        end(shard)
        notBefore[shard.value] = clock.now() + RETRY_INTERVAL_MS * (settings.controllerId.value + 1)
    }

    /** Pauses attempts for [shard]: its workers cannot be reached from here, but other controllers may reach them. */
    fun pauseForUnreachableWorkers(shard: ShardId) {
        notBefore[shard.value] = clock.now() + UNREACHABLE_PAUSE_MS
    }

    private companion object {
        const val RETRY_INTERVAL_MS = 100L
        const val REACQUIRE_INTERVAL_MS = 3_000L
        const val UNREACHABLE_PAUSE_MS = 5_000L
    }
}

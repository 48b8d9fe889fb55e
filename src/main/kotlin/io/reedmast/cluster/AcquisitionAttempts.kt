package io.reedmast.cluster

import io.reedmast.ports.Clock
import io.reedmast.settings.Settings
import io.reedmast.settings.ShardId

/** Which shards are being acquired or restored, and until when no new attempt is made, by shard. */
internal class AcquisitionAttempts(private val settings: Settings, private val clock: Clock) {
    private val inProgress = BooleanArray(settings.shardCount)
    private val notBefore = LongArray(settings.shardCount)

    /** Whether the shard is being acquired, or its state read after that. */
    fun isInProgress(shard: ShardId): Boolean = inProgress[shard.value]

    /** Whether a new attempt must wait longer than until [now]. */
    fun isPaused(shard: ShardId, now: Long): Boolean = now <= notBefore[shard.value]

    /** An acquisition of [shard] begins. */
    fun begin(shard: ShardId) {
        inProgress[shard.value] = true
        notBefore[shard.value] = clock.now() + REACQUIRE_INTERVAL_MS
    }

    /** The acquisition of [shard] is over, and its state has been read or could not be. */
    fun end(shard: ShardId) {
        inProgress[shard.value] = false
    }

    /**
     * The acquisition of [shard] has failed. After a restart of all controllers every second counts; they do not try at
     * the same moment.
     */
    fun retrySoon(shard: ShardId) {
        end(shard)
        notBefore[shard.value] = clock.now() + RETRY_INTERVAL_MS * (settings.self.value + 1)
    }

    /** The workers of [shard] cannot be reached from here: the other controllers may be better off. */
    fun pauseForUnreachableWorkers(shard: ShardId) {
        notBefore[shard.value] = clock.now() + UNREACHABLE_PAUSE_MS
    }

    private companion object {
        const val RETRY_INTERVAL_MS = 100L
        const val REACQUIRE_INTERVAL_MS = 3_000L
        const val UNREACHABLE_PAUSE_MS = 5_000L
    }
}

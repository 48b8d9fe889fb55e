package io.reedmast.commands

import io.reedmast.model.ShardState
import org.slf4j.LoggerFactory

/** Logs, in at most one line a second, how many stops were not sent directly, by [CallRefusal]. */
internal class DroppedStopLog(private val shardState: ShardState) {
    private val log = LoggerFactory.getLogger("shard")
    private val countByRefusal = LinkedHashMap<CallRefusal, Int>()
    private var loggedAt = 0L

    /** Records that [stopCount] stops were dropped because of [refusal]. */
    fun record(refusal: CallRefusal, stopCount: Int) {
        if (stopCount > 0) countByRefusal.merge(refusal, stopCount, Int::plus)
    }

    /** Logs what has been recorded since the last line, if one is due. Called periodically. */
    fun logIfDue() {
        val now = shardState.clock.now()
        if (countByRefusal.isEmpty() || now - loggedAt < INTERVAL_MS) return
        loggedAt = now
        log.info("shard {}: stops left to heartbeats: {}", shardState.index.value, countByRefusal)
        countByRefusal.clear()
    }

    private companion object {
        const val INTERVAL_MS = 1_000L
    }
}

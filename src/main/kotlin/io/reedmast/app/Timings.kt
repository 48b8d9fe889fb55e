package io.reedmast.app

import io.reedmast.ports.Clock
import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import org.slf4j.LoggerFactory

/** How long requests of each kind took, logged once a minute. */
class Timings(private val clock: Clock) {
    private val log = LoggerFactory.getLogger("timings")
    private val histograms = listOf("checkin", "submission", "question").associateWith {
        ConcurrentHistogram(MAX_MS, SIGNIFICANT_DIGITS)
    }
    private var due = clock.now() + LOG_INTERVAL_MS

    /** Runs [work] and records its time under [kind]. */
    inline fun <T> time(kind: String, work: () -> T): T {
        val startedAt = now()
        try {
            return work()
        } finally {
            record(kind, now() - startedAt)
        }
    }

    @PublishedApi
    internal fun now(): Long = clock.now()

    @PublishedApi
    internal fun record(kind: String, ms: Long) {
        histograms[kind]?.recordValue(ms.coerceIn(0, MAX_MS))
    }

    /** Logs and resets what was recorded, if a minute has passed since the last time. */
    fun runOnce() {
        if (clock.now() < due) return
        due = clock.now() + LOG_INTERVAL_MS
        for ((kind, histogram) in histograms) {
            val lastMinute: Histogram = histogram.copy()
            histogram.reset()
            if (lastMinute.totalCount == 0L) continue
            log.info(
                "{}: {} in a minute, ms p50 {} p99 {} max {}",
                kind,
                lastMinute.totalCount,
                lastMinute.getValueAtPercentile(MEDIAN),
                lastMinute.getValueAtPercentile(TAIL),
                lastMinute.maxValue,
            )
        }
    }

    private companion object {
        const val MAX_MS = 60_000L

        /** Significant digits that are kept of a time. */
        const val SIGNIFICANT_DIGITS = 2
        const val MEDIAN = 50.0
        const val TAIL = 99.0
        const val LOG_INTERVAL_MS = 60_000L
    }
}

package io.reedmast.app

import io.reedmast.ports.Clock
import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import org.slf4j.LoggerFactory

/** Measures how long requests of each kind take, and logs that once a minute. */
class Timings(private val clock: Clock) {
    private val log = LoggerFactory.getLogger("timings")
    private val histograms = listOf("checkin", "submission", "question").associateWith {
        ConcurrentHistogram(MAX_MS, SIGNIFICANT_DIGITS)
    }
    private var nextLogAt = clock.now() + LOG_INTERVAL_MS

    /** Runs [work] and records its duration under [kind]. */
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

    /** Logs and resets the recorded durations if a minute has passed since the last time. */
    fun runOnce() {
        if (clock.now() < nextLogAt) return
        nextLogAt = clock.now() + LOG_INTERVAL_MS
        for ((kind, histogram) in histograms) {
            val lastMinute: Histogram = histogram.copy()
            histogram.reset()
            if (lastMinute.totalCount == 0L) continue
            log.info(
                "{}: {} requests within a minute, p50 {} ms, p99 {} ms, max {} ms",
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

        /** How many significant digits of a duration are kept. */
        const val SIGNIFICANT_DIGITS = 2
        const val MEDIAN = 50.0
        const val TAIL = 99.0
        const val LOG_INTERVAL_MS = 60_000L
    }
}

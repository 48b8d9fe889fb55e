package io.reedmast.app

import io.reedmast.ports.Clock
import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import org.slf4j.LoggerFactory

/** How long requests of each kind took, logged once a minute. */
class Timings(private val clock: Clock) {
    private val log = LoggerFactory.getLogger("timings")
    private val histograms = listOf("checkin", "submission", "question").associateWith {
        ConcurrentHistogram(MAX_MS, DIGITS)
    }
    private var due = clock.now() + EVERY_MS

    /** Runs [work] and records its time under [kind]. */
    inline fun <T> time(kind: String, work: () -> T): T {
        val begin = now()
        try {
            return work()
        } finally {
            record(kind, now() - begin)
        }
    }

    @PublishedApi
    internal fun now(): Long = clock.now()

    @PublishedApi
    internal fun record(kind: String, ms: Long) {
        histograms[kind]?.recordValue(ms.coerceIn(0, MAX_MS))
    }

    fun runOnce() {
        if (clock.now() < due) return
        due = clock.now() + EVERY_MS
        for ((kind, histogram) in histograms) {
            val last: Histogram = histogram.copy()
            histogram.reset()
            if (last.totalCount == 0L) continue
            log.info(
                "{}: {} in a minute, ms p50 {} p99 {} max {}",
                kind,
                last.totalCount,
                last.getValueAtPercentile(50.0),
                last.getValueAtPercentile(99.0),
                last.maxValue,
            )
        }
    }

    private companion object {
        const val MAX_MS = 60_000L
        const val DIGITS = 2
        const val EVERY_MS = 60_000L
    }
}

package io.reedmast.app

import io.reedmast.ports.Clock

/** Limits the lines that one place writes to the log to [LINES_PER_S], and counts those that are left out. */
internal class LogRateLimiter(private val clock: Clock) {
    private var windowStartedAt = 0L
    private var linesInWindow = 0
    private var suppressedCount = 0

    /** Whether a line may be written now; otherwise it is counted as suppressed. */
    fun tryAcquire(): Boolean {
        val now = clock.now()
        if (now - windowStartedAt >= WINDOW_MS) {
            windowStartedAt = now
            linesInWindow = 0
        }
        if (linesInWindow >= LINES_PER_S) {
            suppressedCount++
            return false
        }
        linesInWindow++
        return true
    }

    /** The number of lines suppressed since the last call. */
    fun takeSuppressedCount(): Int = suppressedCount.also { suppressedCount = 0 }

    companion object {
        /** The number of lines allowed in each second. */
        const val LINES_PER_S = 10
        private const val WINDOW_MS = 1_000L
    }
}

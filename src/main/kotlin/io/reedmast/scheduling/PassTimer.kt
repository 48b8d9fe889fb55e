package io.reedmast.scheduling

/** Limits the rate of scheduling passes. */
internal class PassTimer {
    private var lastPassAtMs = 0L
    private var nextPassAtMs = 0L

    /** Whether enough time has passed since the last pass for one that places any kind of work. */
    fun allowsPass(nowMs: Long): Boolean = nowMs >= nextPassAtMs

    /**
     * Whether enough time has passed since the last pass for one that places only arrays.
     *
     * Each pass that places something causes puts to the store. With a longer interval, array tasks that follow each
     * other on a machine share these puts.
     */
    fun allowsArrayPass(nowMs: Long): Boolean = nowMs >= lastPassAtMs + ARRAY_PASS_INTERVAL_MS

    /** Records the start of a pass. */
    fun recordPass(nowMs: Long) {
        lastPassAtMs = nowMs
        nextPassAtMs = nowMs + PASS_INTERVAL_MS
    }

    companion object {
        /** The minimum interval between passes. */
        const val PASS_INTERVAL_MS = 100L
        private const val ARRAY_PASS_INTERVAL_MS = 250L
    }
}

package io.reedmast.scheduling

/** Bounds the rate of scheduling passes. */
internal class PassTimer {
    private var lastPassAtMs = 0L
    private var nextPassAtMs = 0L

    /** Whether enough time has gone by since the last pass for one that places any kind of work. */
    fun allowsPass(nowMs: Long): Boolean = nowMs >= nextPassAtMs

    /**
     * Whether enough time has gone by since the last pass for one that places arrays alone.
     *
     * Each pass that places something costs puts: tasks of arrays that follow each other on a machine share them.
     */
    fun allowsArrayPass(nowMs: Long): Boolean = nowMs >= lastPassAtMs + ARRAY_PASS_INTERVAL_MS

    /** Records that a pass begins. */
    fun recordPass(nowMs: Long) {
        lastPassAtMs = nowMs
        nextPassAtMs = nowMs + PASS_INTERVAL_MS
    }

    companion object {
        /** At most one pass each interval. */
        const val PASS_INTERVAL_MS = 100L
        private const val ARRAY_PASS_INTERVAL_MS = 250L
    }
}

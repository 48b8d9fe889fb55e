package io.reedmast.ports

/** Monotonic time, which decisions are based on, and wall-clock time, which is stored and displayed. */
interface Clock {
    /** Monotonic time in milliseconds from an arbitrary origin: only differences within one process are meaningful. */
    fun now(): Long

    /** Wall-clock time in milliseconds since 1970; it may jump, and differs between controllers. */
    fun wallTime(): Long
}

package io.reedmast.ports

/** Steady time, which decisions are made by, and time of day, which is stored and shown. */
interface Clock {
    /** Steady time in milliseconds, from an arbitrary origin: only differences within one process mean anything. */
    fun now(): Long

    /** Time of day in milliseconds since 1970; it may jump, and differs between controllers. */
    fun wallTime(): Long
}

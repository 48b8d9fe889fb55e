package io.reedmast.ports

/** Steady time and time of day, both in milliseconds. */
interface Clock {
    fun now(): Long

    fun wall(): Long
}

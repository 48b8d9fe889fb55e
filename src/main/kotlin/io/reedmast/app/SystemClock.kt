package io.reedmast.app

import io.reedmast.ports.Clock
import java.util.concurrent.TimeUnit

/** The monotonic clock and the wall clock of this machine. */
internal object SystemClock : Clock {
    override fun now(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    override fun wallTime(): Long = System.currentTimeMillis()
}

package io.reedmast.kvstore

import java.util.concurrent.TimeUnit

/** The monotonic clock of this process, in milliseconds from an arbitrary origin. */
internal fun monotonicMs(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

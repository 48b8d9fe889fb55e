package io.reedmast.gangs

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class GangRetryDelayTest {
    @Test
    fun `the delay doubles with each attempt that timed out, up to a bound`() {
        val delays = listOf(0, 1, 2, 5, 6, 1_000).map { gangRetryDelayMs(it) }
        assertEquals(listOf(500L, 1_000L, 2_000L, 16_000L, 16_000L, 16_000L), delays)
    }
}

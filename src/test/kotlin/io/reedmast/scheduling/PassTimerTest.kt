package io.reedmast.scheduling

import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class PassTimerTest {
    @Test
    fun `passes are limited to one per interval, and passes for arrays alone to one per longer interval`() {
        val timer = PassTimer()
        timer.recordPass(1_000L)
        assertFalse(timer.allowsPass(1_099L))
        assertTrue(timer.allowsPass(1_100L))
        assertFalse(timer.allowsArrayPass(1_249L))
        assertTrue(timer.allowsArrayPass(1_250L))
    }
}

package io.reedmast.scheduling

import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class PassTimerTest {
    @Test
    fun `passes keep their distance, and those for arrays alone a larger one`() {
        val timer = PassTimer()
        timer.recordPass(1_000L)
        assertFalse(timer.allowsPass(1_099L))
        assertTrue(timer.allowsPass(1_100L))
        assertFalse(timer.allowsArrayPass(1_249L))
        assertTrue(timer.allowsArrayPass(1_250L))
    }
}

package io.reedmast.state

import io.reedmast.settings.StateLimits
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class LimitsInForceTest {
    private val now = StateLimits(150.0, 50.0, 8192, 16)
    private val next = StateLimits(200.0, 35.0, 2048, 5)
    private val limits = LimitsInForce(now, next)

    private fun transaction(puts: Int, bytes: Int, conditions: Int = puts) = Transaction(
        "t-1",
        (0 until conditions).map { Guard("key-$it", 1L) },
        (0 until puts).map { Write.Put("key-$it", mapOf("v" to "x".repeat(bytes))) },
    )

    @Test
    fun `new records fit both limits, of which the lower one counts`() {
        assertEquals(StateLimits(150.0, 35.0, 2048, 5), limits.target)
        assertEquals(now, limits.allowed)
        limits.lower()
        assertEquals(limits.target, limits.allowed)
    }

    @Test
    fun `without next limits nothing changes`() {
        val alone = LimitsInForce(now)
        alone.lower()
        assertEquals(now, alone.allowed)
        assertEquals(now, alone.target)
        assertFalse(alone.onlyFormerlyAllowed(transaction(puts = 1, bytes = 9000)))
    }

    @Test
    fun `a refusal proves lower limits only if the service would have taken it before`() {
        assertTrue(limits.onlyFormerlyAllowed(transaction(puts = 1, bytes = 3000)))
        assertTrue(limits.onlyFormerlyAllowed(transaction(puts = 6, bytes = 10)))
        assertTrue(limits.onlyFormerlyAllowed(transaction(puts = 1, bytes = 10, conditions = 21)))
        assertFalse(limits.onlyFormerlyAllowed(transaction(puts = 5, bytes = 10, conditions = 20)))
        assertFalse(limits.onlyFormerlyAllowed(transaction(puts = 1, bytes = 9000)))
    }
}

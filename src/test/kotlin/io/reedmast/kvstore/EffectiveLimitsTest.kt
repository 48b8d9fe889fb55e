package io.reedmast.kvstore

import io.reedmast.settings.StoreLimits
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class EffectiveLimitsTest {
    private val current = StoreLimits(150.0, 50.0, 8192, 16)
    private val next = StoreLimits(200.0, 35.0, 2048, 5)
    private val limits = EffectiveLimits(current, next)

    private fun transaction(puts: Int, bytes: Int, conditions: Int = puts) = StoreTransaction(
        "t-1",
        (0 until conditions).map { Precondition("key-$it", 1L) },
        (0 until puts).map { Write.Put("key-$it", mapOf("v" to "x".repeat(bytes))) },
    )

    @Test
    fun `new records fit the lower of the current and the next limits`() {
        assertEquals(StoreLimits(150.0, 35.0, 2048, 5), limits.target)
        assertEquals(current, limits.allowed)
        limits.reduce()
        assertEquals(limits.target, limits.allowed)
    }

    @Test
    fun `without next limits nothing changes`() {
        val alone = EffectiveLimits(current)
        alone.reduce()
        assertEquals(current, alone.allowed)
        assertEquals(current, alone.target)
        assertFalse(alone.exceedsOnlyReduced(transaction(puts = 1, bytes = 9000)))
    }

    @Test
    fun `a refusal proves reduced limits only if the store would have accepted the transaction before`() {
        assertTrue(limits.exceedsOnlyReduced(transaction(puts = 1, bytes = 3000)))
        assertTrue(limits.exceedsOnlyReduced(transaction(puts = 6, bytes = 10)))
        assertTrue(limits.exceedsOnlyReduced(transaction(puts = 1, bytes = 10, conditions = 21)))
        assertFalse(limits.exceedsOnlyReduced(transaction(puts = 5, bytes = 10, conditions = 20)))
        assertFalse(limits.exceedsOnlyReduced(transaction(puts = 1, bytes = 9000)))
    }
}

package io.reedmast.autoscaling

import io.reedmast.sim.World
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class DemandRotationTest {
    private val rotation = DemandRotation()
    private val demands = listOf("x", "y", "z", "w").map { zone ->
        Demand.of(World.spec("wk-1", mapOf("zone" to zone)), pastDeadline = false, taskCount = 1)
    }

    /** The zones of the demands in a summary that has room for [room] of them. */
    private fun shown(room: Int, offered: List<Demand> = demands): List<String?> {
        val rotated = rotation.rotate(offered)
        val included = rotated.take(room)
        rotation.recordIncluded(rotated, included.size)
        return included.map { it.zone }
    }

    @Test
    fun `the order stays as long as all kinds fit`() {
        repeat(2) { assertEquals(listOf("x", "y", "z", "w"), shown(room = 4)) }
    }

    /** A service waited for good, since demand that could never be met left no room for its own. */
    @Test
    fun `every kind is shown in turn if they do not all fit`() {
        assertEquals(listOf("x", "y", "z"), shown(room = 3))
        assertEquals(listOf("w", "x", "y"), shown(room = 3))
        assertEquals(listOf("z", "w", "x"), shown(room = 3))
    }

    @Test
    fun `the most urgent kind comes first again when the next one in turn has been met`() {
        assertEquals(listOf("x", "y", "z"), shown(room = 3))
        assertEquals(listOf("x", "y", "z"), shown(room = 3, offered = demands.dropLast(1)))
    }
}

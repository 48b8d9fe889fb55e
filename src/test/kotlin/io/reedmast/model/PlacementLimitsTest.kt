package io.reedmast.model

import io.reedmast.settings.TeamId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against arrays of one team that take all placements which a controller can hold. */
class PlacementLimitsTest {
    private val limit = SharedLimit(max = 800, teamCount = 4)
    private val greedy = TeamId(0)

    private fun takeAll(team: TeamId, isFirst: Boolean): Int {
        var taken = 0
        while (limit.allowsOneMore(team, isFirst)) {
            limit.count(team, +1)
            taken++
        }
        return taken
    }

    @Test
    fun `one team leaves a quarter, an eighth of it to first tasks of jobs`() {
        assertEquals(600, takeAll(greedy, isFirst = false))
        assertEquals(100, takeAll(greedy, isFirst = true))
    }

    @Test
    fun `each other team has its part of the last eighth, whatever one team takes`() {
        takeAll(greedy, isFirst = false)
        takeAll(greedy, isFirst = true)
        for (team in 1..3) assertEquals(25, takeAll(TeamId(team), isFirst = false))
        assertEquals(25, limit.free)
    }

    @Test
    fun `what is given back may be taken again`() {
        takeAll(greedy, isFirst = false)
        assertFalse(limit.allowsOneMore(greedy, isFirst = false))
        limit.count(greedy, -1)
        assertTrue(limit.allowsOneMore(greedy, isFirst = false))
    }
}

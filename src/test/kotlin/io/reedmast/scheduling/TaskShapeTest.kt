package io.reedmast.scheduling

import io.reedmast.placement.PlacementFixtures.job
import io.reedmast.placement.PlacementFixtures.machine
import io.reedmast.placement.Urgency
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class TaskShapeTest {
    @Test
    fun `tasks with the same requirements have the same shape, whichever job they belong to`() {
        assertEquals(TaskShape.of(job("wk-1"), Urgency.NORMAL), TaskShape.of(job("wk-2"), Urgency.NORMAL))
        assertNotEquals(TaskShape.of(job("wk-1"), Urgency.NORMAL), TaskShape.of(job("wk-1"), Urgency.LATE))
        assertNotEquals(
            TaskShape.of(job("wk-1"), Urgency.NORMAL),
            TaskShape.of(job("wk-1", "cpus" to "2"), Urgency.NORMAL),
        )
    }

    @Test
    fun `jobs with zone rules or earlier failures have no shape`() {
        val failed = job("wk-3").apply { failedOn.add(machine()) }
        assertNull(TaskShape.of(job("wk-1", "oneZone" to "true"), Urgency.NORMAL))
        assertNull(TaskShape.of(job("wk-2", "spread" to "true"), Urgency.NORMAL))
        assertNull(TaskShape.of(failed, Urgency.NORMAL))
    }
}

package io.reedmast.heartbeats

import io.reedmast.model.Placement
import io.reedmast.model.RecordConflict
import io.reedmast.placement.PlacementFixtures
import io.reedmast.wire.WorkerStatus
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/**
 * A placement whose launch never arrived, on a machine whose worker another shard's owner answers: the worker has seen
 * that owner's higher token and refuses every launch by this owner, so the task would wait there forever.
 */
class MissingTaskTest {
    private val machine = PlacementFixtures.machine()
    private val placement: Placement =
        PlacementFixtures.place(PlacementFixtures.job(), machine, taskCount = 1).single()

    private fun caseOf(tokenSeen: Long, conflict: RecordConflict): MissingTask {
        machine.updateRecordConflict(conflict, 1L)
        val status = WorkerStatus(machine.name, "addr", "m", "x", false, 1L, 1L, tokenSeen, null, emptyList())
        return MissingTask.of(placement, status, StatusSource.DIRECT_CALL, highestOwnToken = 10L)
    }

    @Test
    fun `a placement whose launch is refused for a higher token is superseded`() {
        assertEquals(MissingTask.SUPERSEDED, caseOf(tokenSeen = 11L, RecordConflict.ANSWERED_ELSEWHERE))
    }

    @Test
    fun `a placement whose launch may still arrive is not superseded`() {
        assertEquals(MissingTask.NO_ANSWER_POSSIBLE, caseOf(tokenSeen = 10L, RecordConflict.ANSWERED_ELSEWHERE))
        assertEquals(MissingTask.NO_ANSWER_POSSIBLE, caseOf(tokenSeen = 11L, RecordConflict.NONE))
    }
}

package io.reedmast.machines

import io.reedmast.model.Machine
import io.reedmast.model.RecordConflict
import io.reedmast.placement.PlacementFixtures
import io.reedmast.scheduling.SettableClock
import io.reedmast.scheduling.shardState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * When an owner releases a machine that the records of several shards contain, and when such a machine counts as lost.
 */
class ContestedMachineHandlerTest {
    private val clock = SettableClock(100_000L)
    private val state = shardState(clock)
    private val handler = ContestedMachineHandler(state, silentAfterMs = 9_000L)

    private fun contested(conflict: RecordConflict): Machine = PlacementFixtures.machine().also {
        it.isStateKnown = true
        it.lastHeartbeatAt = clock.now()
        it.updateRecordConflict(conflict, clock.now())
    }

    @Test
    fun `nothing is placed on a contested machine`() {
        val machine = contested(RecordConflict.ANSWERED_HERE)
        assertFalse(machine.usable)

        machine.updateRecordConflict(RecordConflict.NONE, clock.now())
        assertTrue(machine.usable)
    }

    @Test
    fun `silence counts from when only this shard's records contain the machine`() {
        val machine = contested(RecordConflict.ANSWERED_ELSEWHERE)
        clock.nowMs += 60_000

        machine.updateRecordConflict(RecordConflict.NONE, clock.now())

        assertEquals(clock.now(), machine.lastHeartbeatAt)
        assertEquals(clock.now(), machine.firstSeenAt)
    }

    @Test
    fun `an owner without work there releases the machine at once, or later if it answers the worker`() {
        val answered = contested(RecordConflict.ANSWERED_HERE)
        val answeredElsewhere = contested(RecordConflict.ANSWERED_ELSEWHERE)

        assertTrue(handler.isReleasable(answeredElsewhere, clock.now()))
        assertFalse(handler.isReleasable(answered, clock.now()))
        clock.nowMs += 5_000
        assertTrue(handler.isReleasable(answered, clock.now()))
    }

    @Test
    fun `an owner with work there does not release the machine`() {
        val machine = contested(RecordConflict.ANSWERED_ELSEWHERE)
        PlacementFixtures.place(PlacementFixtures.job(), machine, taskCount = 1)

        assertFalse(handler.isReleasable(machine, clock.now() + 60_000))
    }

    /** The settings have a lease of 16 s, and the handler adds 9 s. */
    @Test
    fun `a machine is lost once its worker's lease has expired, as only the owner that answers it can tell`() {
        val answered = contested(RecordConflict.ANSWERED_HERE)
        val answeredElsewhere = contested(RecordConflict.ANSWERED_ELSEWHERE)

        assertFalse(handler.isLost(answered, observationGapUntil = 0L, clock.now() + 25_000))
        assertTrue(handler.isLost(answered, observationGapUntil = 0L, clock.now() + 25_001))
        assertFalse(handler.isLost(answered, observationGapUntil = clock.now() + 20_000, clock.now() + 25_001))
        assertFalse(handler.isLost(answeredElsewhere, observationGapUntil = 0L, clock.now() + 60_000))
    }
}

package io.reedmast.autoscaling

import io.reedmast.model.MachineRecord
import io.reedmast.scheduling.SettableClock
import io.reedmast.settings.ShardId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

/** A machine has one destination, whether a rental or a heartbeat names it, and in whatever order answers arrive. */
class MachineIntakeTest {
    private val clock = SettableClock(100_000L)
    private val fleet = FakeFleet(emptyMap())
    private val pendingReturns = PendingReturns()
    private val intake = MachineIntake(clock, fleet, { emptyMap() }, pendingReturns)
    private val fromHeartbeat = MachineRecord("host-000001", "m", "x", spot = false)
    private val fromRental = fromHeartbeat.copy(spot = true)

    private fun offer(record: MachineRecord, shard: Int, source: IntakeSource) =
        intake.offer(record, ShardId(shard), source, seenToken = 0L)

    private fun answer(result: AddMachinesResult) = fleet.pendingAnswers.removeFirst()(result)

    @Test
    fun `a rental replaces the destination chosen for a heartbeat`() {
        offer(fromHeartbeat, 0, IntakeSource.HEARTBEAT)

        assertEquals(IntakeDecision.Accepted, offer(fromRental, 1, IntakeSource.RENTAL))
        intake.assignWaitingMachines()

        assertEquals(listOf(fromHeartbeat.name to 1), fleet.additions)
        assertEquals(listOf(fromRental), fleet.addedRecords)
    }

    @Test
    fun `a heartbeat does not replace the destination of a rental`() {
        offer(fromRental, 1, IntakeSource.RENTAL)

        assertEquals(IntakeDecision.MetElsewhere(ShardId(1)), offer(fromHeartbeat, 0, IntakeSource.HEARTBEAT))
    }

    @Test
    fun `the destination stays while a write is in flight`() {
        offer(fromHeartbeat, 0, IntakeSource.HEARTBEAT)
        intake.assignWaitingMachines()

        assertEquals(IntakeDecision.MetElsewhere(ShardId(0)), offer(fromRental, 1, IntakeSource.RENTAL))
        intake.assignWaitingMachines()

        assertEquals(listOf(fromHeartbeat.name to 0), fleet.additions)
    }

    @Test
    fun `the destination stays until the watch has caught up with a write that failed`() {
        offer(fromHeartbeat, 0, IntakeSource.HEARTBEAT)
        intake.assignWaitingMachines()
        fleet.observedThrough = clock.now() - 1
        answer(AddMachinesResult.Unconfirmed)

        assertEquals(IntakeDecision.MetElsewhere(ShardId(0)), offer(fromRental, 1, IntakeSource.RENTAL))
        intake.assignWaitingMachines()
        assertEquals(1, fleet.additions.size)

        fleet.observedThrough = clock.now() + 1
        intake.assignWaitingMachines()
        assertEquals(listOf(fromHeartbeat.name to 0, fromHeartbeat.name to 0), fleet.additions)
    }

    @Test
    fun `a write that was stored after all is not repeated`() {
        offer(fromHeartbeat, 0, IntakeSource.HEARTBEAT)
        intake.assignWaitingMachines()
        answer(AddMachinesResult.Unconfirmed)
        fleet.recorded[fromHeartbeat.name] = 0

        intake.assignWaitingMachines()

        assertEquals(1, fleet.additions.size)
        assertEquals(emptySet<String>(), intake.unassignedNames)
    }

    @Test
    fun `nothing is assigned before all that earlier leaders stored is known`() {
        fleet.leaderTerm = null
        offer(fromHeartbeat, 0, IntakeSource.HEARTBEAT)

        intake.assignWaitingMachines()

        assertEquals(emptyList<Pair<String, Int>>(), fleet.additions)
    }

    @Test
    fun `machines collected before another controller led are discarded`() {
        intake.assignWaitingMachines()
        offer(fromHeartbeat, 0, IntakeSource.HEARTBEAT)
        fleet.leaderTerm = 9L

        intake.assignWaitingMachines()

        assertEquals(emptyList<Pair<String, Int>>(), fleet.additions)
    }

    @Test
    fun `machines that have left, or are being returned, are assigned to no shard`() {
        fleet.departed.add(fromHeartbeat.name)
        assertEquals(IntakeDecision.Leaving, offer(fromHeartbeat, 0, IntakeSource.RENTAL))

        fleet.departed.clear()
        pendingReturns.addAll(listOf(fromHeartbeat.name))
        assertEquals(IntakeDecision.Leaving, offer(fromHeartbeat, 0, IntakeSource.RENTAL))
    }

    @Test
    fun `a machine that belongs to a shard is assigned to no other`() {
        fleet.recorded[fromHeartbeat.name] = 2

        assertEquals(IntakeDecision.MetElsewhere(ShardId(2)), offer(fromRental, 1, IntakeSource.RENTAL))
    }

    @Test
    fun `events that cannot occur in a stage are refused`() {
        assertThrows(IllegalStateException::class.java) { IntakeStage.STORED.after(IntakeEvent.WRITE_SENT) }
        assertThrows(IllegalStateException::class.java) { IntakeStage.STORING.after(IntakeEvent.WRITE_SENT) }
    }
}

package io.reedmast.scheduling

import io.reedmast.model.Machine
import io.reedmast.placement.PlacementFixtures.machine
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class CandidateMachinesTest {
    private fun withHeartbeat(name: String, atMs: Long): Machine = machine(name).apply {
        isStateKnown = true
        lastHeartbeatAt = atMs
    }

    @Test
    fun `machines whose heartbeat is late are left out`() {
        val machines =
            listOf(withHeartbeat("host-0", 9_000L), withHeartbeat("host-1", 9_000L), withHeartbeat("host-2", 0L))
        assertEquals(machines.take(2), candidateMachines(machines, heartbeatLateMs = 4_000L, nowMs = 10_000L))
    }

    @Test
    fun `if most heartbeats are late, none of the machines is left out`() {
        val machines = listOf(withHeartbeat("host-0", 9_000L), withHeartbeat("host-1", 0L), withHeartbeat("host-2", 0L))
        assertEquals(machines, candidateMachines(machines, heartbeatLateMs = 4_000L, nowMs = 10_000L))
    }

    @Test
    fun `machines that the cloud reclaims, or whose state is not known, are left out`() {
        val reclaimed = withHeartbeat("host-0", 9_000L).apply { reclaimAt = 20_000L }
        val stateUnknown = withHeartbeat("host-1", 9_000L).apply { isStateKnown = false }
        val machines = listOf(reclaimed, stateUnknown)
        assertEquals(emptyList<Machine>(), candidateMachines(machines, heartbeatLateMs = 4_000L, nowMs = 10_000L))
    }
}

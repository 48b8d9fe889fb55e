package io.reedmast.cluster

import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.model.MachineRecord
import io.reedmast.scheduling.SettableClock
import io.reedmast.settings.ShardId
import io.reedmast.sim.testSettings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** An owner may release a machine only while another shard's record contains it: otherwise no record would. */
class ContestedMachineReleaseTest {
    private val settings = testSettings()
    private val limits = EffectiveLimits(settings.storeLimits, null)
    private val store = AcceptingStore(revision = 20L)
    private val machines =
        MachineTable(2, NoOpProcessControl, limits, DepartedMachines(settings, SettableClock()), {}, {})
    private val shards = ShardTable(2, store) { _, _, _ -> }
    private val writer = MachineListWriter(store, limits, shards, machines) { _, onDone -> onDone() }
    private val term = Precondition(Keys.shard(1), 5L)

    private fun part(vararg names: String) =
        MachineListPart(names.map { MachineRecord(it, "m", "x", spot = false) }, emptyMap())

    @Test
    fun `the other shard's record is a precondition, and machines that it does not list stay`() {
        machines.applyPart(ShardId(0), 0, part("host-1"), version = 11L)
        machines.applyPart(ShardId(1), 0, part("host-1", "host-2"), version = 12L)

        ContestedMachineRelease(machines, writer).release(ShardId(1), listOf("host-1", "host-2"), term)

        val preconditions = store.committed.single().preconditions
        assertTrue(Precondition(Keys.machineList(0, 0), 11L) in preconditions, "$preconditions")
        assertTrue(Precondition(Keys.machineList(1, 0), 12L) in preconditions, "$preconditions")
        assertTrue(term in preconditions, "$preconditions")
        assertEquals(listOf("host-2"), machines.machinesOf(ShardId(1)).map { it.name }.toList())
        assertEquals(ShardId(0), machines.shardOf("host-1"))
    }
}

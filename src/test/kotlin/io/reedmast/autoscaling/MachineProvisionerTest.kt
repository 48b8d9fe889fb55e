package io.reedmast.autoscaling

import io.reedmast.ports.Cloud
import io.reedmast.ports.CloudListing
import io.reedmast.ports.ProvisioningRequest
import io.reedmast.ports.ProvisioningResult
import io.reedmast.ports.ReturnResult
import io.reedmast.scheduling.SettableClock
import io.reedmast.settings.ShardId
import io.reedmast.wire.ListedMachine
import io.reedmast.wire.MachineType
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Answers of the cloud that differ from the request: no machine is assigned to two shards, and none is forgotten. */
class MachineProvisionerTest {
    /** A cloud whose answers to rentals the test gives. */
    private class DeferredCloud : Cloud {
        val requests = ArrayList<ProvisioningRequest>()
        val answers = ArrayList<(ProvisioningResult) -> Unit>()

        override fun provision(request: ProvisioningRequest, done: (ProvisioningResult) -> Unit) {
            requests.add(request)
            answers.add(done)
        }

        override fun returnMachines(machineNames: List<String>, done: (ReturnResult) -> Unit) = Unit

        override fun listMachines(done: (CloudListing<ListedMachine>) -> Unit) = Unit

        override fun machineTypes(done: (CloudListing<MachineType>) -> Unit) = Unit
    }

    private val clock = SettableClock(100_000L)
    private val fleet = FakeFleet(emptyMap())
    private val cloud = DeferredCloud()
    private val types = mapOf("m" to machineType("m", cpus = 4.0, hourlyPrice = 1.0, spotPrice = null))
    private val pendingReturns = PendingReturns()
    private val intake = MachineIntake(clock, fleet, { types }, pendingReturns)
    private val provisioner =
        MachineProvisioner(clock, cloud, fleet, { types }, intake, "n0-1", transferWaitMs = 8_000L)

    /** Provisions one machine for each of two shards, with one request for both. */
    private fun rentForTwoShards() {
        val summaries = listOf(1, 2).map {
            ShardUsageSummary(
                ShardId(
                    it,
                ),
                1L, emptyMap(), 1.0,
                listOf(
                    demand(4, zone = "x"),
                ),
                emptyList(), emptyList(), emptyList(), emptyList(),
            )
        }
        provisioner.provision(summaries, emptySet(), clock.now())
        assertEquals(listOf(2), cloud.requests.map { it.count })
    }

    private fun answer(vararg machineNames: String) =
        cloud.answers.removeFirst()(ProvisioningResult.Machines(machineNames.toList()))

    @Test
    fun `each machine is assigned to the shard that it was rented for`() {
        rentForTwoShards()
        answer("host-1", "host-2")

        assertEquals(listOf("host-1" to 1, "host-2" to 2), fleet.additions)
    }

    @Test
    fun `a name that is answered twice is one machine`() {
        rentForTwoShards()
        answer("host-1", "host-1")

        assertEquals(listOf("host-1" to 1), fleet.additions)
    }

    @Test
    fun `a machine that belongs to a shard stays there, and is waited for instead of renting one more`() {
        fleet.recorded["host-1"] = 0
        rentForTwoShards()
        answer("host-1", "host-2")

        assertEquals(listOf("host-2" to 2), fleet.additions)
        assertTrue(provisioner.awaitsTransfer(ShardId(1)))
        assertFalse(provisioner.awaitsTransfer(ShardId(2)))
        clock.nowMs += 8_000L
        assertFalse(provisioner.awaitsTransfer(ShardId(1)))
    }

    @Test
    fun `a machine that is being returned is assigned to no shard`() {
        pendingReturns.addAll(listOf("host-1"))
        rentForTwoShards()
        answer("host-1", "host-2")

        assertEquals(listOf("host-2" to 2), fleet.additions)
    }

    @Test
    fun `fewer machines than requested go to the first shards`() {
        rentForTwoShards()
        answer("host-1")

        assertEquals(listOf("host-1" to 1), fleet.additions)
    }

    /** The intake does not expect them: they are found by their heartbeats or in the cloud's list. */
    @Test
    fun `machines beyond the requested number are not assigned yet`() {
        rentForTwoShards()
        answer("host-1", "host-2", "host-3")

        assertEquals(listOf("host-1" to 1, "host-2" to 2), fleet.additions)
        assertFalse("host-3" in intake.unassignedNames)
    }

    @Test
    fun `an answer is ignored once this controller no longer leads`() {
        rentForTwoShards()
        fleet.leading = false
        answer("host-1", "host-2")

        assertEquals(emptyList<Pair<String, Int>>(), fleet.additions)
        assertEquals(emptySet<String>(), intake.unassignedNames)
    }
}

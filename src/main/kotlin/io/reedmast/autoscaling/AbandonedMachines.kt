package io.reedmast.autoscaling

import io.reedmast.ports.Clock
import io.reedmast.ports.Cloud
import io.reedmast.ports.ReturnResult
import io.reedmast.settings.Settings
import io.reedmast.wire.ListedMachine
import io.reedmast.wire.MachineType
import org.slf4j.LoggerFactory

/**
 * Returns rented machines that cost money but are not used: those that belong to no shard and whose workers send no
 * heartbeats.
 *
 * Machines whose workers do send heartbeats are assigned to a shard by [UnassignedWorkers].
 */
internal class AbandonedMachines(
    private val settings: Settings,
    private val clock: Clock,
    private val cloud: Cloud,
    private val fleet: FleetView,
    private val machineTypes: () -> Map<String, MachineType>,
    private val intake: MachineIntake,
    private val pendingReturns: PendingReturns,
) {
    private val log = LoggerFactory.getLogger("autoscaler")

    /** Since when the cloud has listed a machine that belongs to no shard, in milliseconds. */
    private val unassignedSince = HashMap<String, Long>()

    /**
     * Called when this controller becomes the leader. The times since when machines belong to no shard start anew:
     * another controller has led before, and what it knew of these machines is not known here.
     */
    fun startLeading() = unassignedSince.clear()

    /**
     * Returns those of the [machines] listed by the cloud that belong to no shard and have failed to come up, or have
     * not been assigned to a shard in time.
     */
    fun onMachineList(machines: List<ListedMachine>) {
        val now = clock.now()
        unassignedSince.keys.retainAll(machines.mapTo(HashSet()) { it.name })
        val expectedNames = intake.unassignedNames
        val (unassigned, accountedFor) = machines.partition { isUnassigned(it.name, expectedNames) }
        accountedFor.forEach { unassignedSince.remove(it.name) }
        val abandoned = unassigned.filter { isAbandoned(it, now) && it.name !in pendingReturns }
        if (abandoned.isNotEmpty()) returnMachines(abandoned.take(MAX_MACHINES_PER_RETURN).map { it.name })
    }

    private fun isUnassigned(machineName: String, expectedNames: Set<String>): Boolean =
        fleet.shardOfMachine(machineName) == null && !fleet.departedRecently(machineName) &&
            machineName !in expectedNames

    private fun isAbandoned(machine: ListedMachine, now: Long): Boolean {
        val since = unassignedSince.getOrPut(machine.name) { now }
        return machine.stage == FAILED_STAGE || now - since > maxUnassignedMs(machine)
    }

    /** How long a machine may belong to no shard, while it boots and the list lags, before it counts as abandoned. */
    private fun maxUnassignedMs(machine: ListedMachine): Double {
        val bootS = machineTypes()[machine.typeName]?.bootS ?: BOOT_OF_UNKNOWN_TYPE_S
        return (bootS * BOOT_SLACK + settings.cloudLimits.listLagS * LIST_LAG_SLACK) * MS_PER_S
    }

    private fun returnMachines(machineNames: List<String>) {
        log.info("machines {}: belong to no shard and send no heartbeats, returning them", machineNames)
        pendingReturns.addAll(machineNames)
        cloud.returnMachines(machineNames) { result ->
            pendingReturns.removeAll(machineNames)
            if (result == ReturnResult.CONFIRMED) machineNames.forEach { onReturned(it) }
        }
    }

    private fun onReturned(machineName: String) {
        unassignedSince.remove(machineName)
        fleet.recordDeparture(machineName)
    }

    private companion object {
        /** The stage that the cloud reports for a machine that did not come up. */
        const val FAILED_STAGE = "failed"
        const val BOOT_OF_UNKNOWN_TYPE_S = 60.0
        const val BOOT_SLACK = 2
        const val LIST_LAG_SLACK = 2
        const val MAX_MACHINES_PER_RETURN = 100
    }
}

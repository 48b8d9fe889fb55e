package io.reedmast.shard

import io.reedmast.machines.MachineLifecycle
import io.reedmast.model.DecommissionReason
import io.reedmast.model.Machine
import io.reedmast.model.MachineRecord
import io.reedmast.model.ShardState

/** Keeps the machines of a shard, as known to its owner, in line with those that the records contain. */
internal class ShardMachines(
    private val shardState: ShardState,
    private val lifecycle: MachineLifecycle,
    private val records: ShardRecords,
) {
    private val clock = shardState.clock

    /**
     * The machine to which a stored placement refers. If the shard no longer has it, it is added as decommissioned and
     * kept until it is returned.
     */
    fun machineOfStoredPlacement(machineName: String): Machine = shardState.machines.getOrPut(machineName) {
        val record = MachineRecord(machineName, typeName = "", zone = "", spot = false)
        Machine(record, null, clock.now(), shardState.token).apply {
            decommissionReason = DecommissionReason.MISSED_HEARTBEATS
        }
    }

    /** Adds and removes machines so that the shard has those that its records now contain. */
    fun syncWithRecords() {
        val recorded = records.transferTargetsOf(shardState.index)
        val names = recorded.keys.mapTo(HashSet()) { it.name }
        lifecycle.onRecordedMachines(names)
        for ((record, destination) in recorded) if (!lifecycle.isGone(record.name)) sync(record, destination)
        // A machine that has been transferred to another shard was empty then.
        shardState.machines.values.removeIf { it.name !in names && it.placements.isEmpty() && !it.isReturning }
        shardState.schedulingPassRequested = true
    }

    /** Adds the machine of [record] if it is new, and marks it for transfer if it has a [destination] shard. */
    private fun sync(record: MachineRecord, destination: Int?) {
        val machine = shardState.machines[record.name] ?: add(record)
        if (!machine.isRecorded) onRecorded(machine, record)
        machine.updateRecordConflict(records.recordConflictOf(shardState.index, record.name), clock.now())
        if (destination != null && machine.decommissionReason == null) {
            machine.decommissionReason = DecommissionReason.TRANSFER
            machine.markedForTransferAt = clock.now()
        }
        if (destination == null && machine.decommissionReason == DecommissionReason.TRANSFER) {
            machine.decommissionReason = null
        }
    }

    private fun add(record: MachineRecord): Machine {
        val type = shardState.machineTypeOf(record.typeName)
        val machine =
            Machine(record, type, clock.now(), shardState.token, records.machineDirectory.factsOf(record.name))
        // If its address is known from another owner, the machine has been up before.
        machine.everReported = machine.addr != null
        shardState.machines[record.name] = machine
        return machine
    }

    /** Handles the record of a machine that was known only from a stored placement. */
    private fun onRecorded(machine: Machine, record: MachineRecord) {
        val type = shardState.machineTypeOf(record.typeName)
        val facts = records.machineDirectory.factsOf(record.name)
        machine.onRecorded(record, type, facts, shardState.token, clock.now())
    }

    /** Called when the cloud's machine types or their prices have changed. */
    fun onMachineTypesChanged() {
        for (machine in shardState.machines.values) {
            val type = shardState.machineTypeOf(machine.record.typeName) ?: continue
            machine.machineType = type
        }
        shardState.jobs.values.forEach { it.expensiveTypes.clear() }
        shardState.schedulingPassRequested = true
    }
}

package io.reedmast.shard

import io.reedmast.machines.MachineLifecycle
import io.reedmast.model.DecommissionReason
import io.reedmast.model.Machine
import io.reedmast.model.MachineRecord
import io.reedmast.model.Placement
import io.reedmast.model.ShardState

/** Brings the machines of a shard, as its owner knows them, in line with those that the records name. */
class ShardMachines(
    private val shardState: ShardState,
    private val lifecycle: MachineLifecycle,
    private val records: ShardRecords,
) {
    /**
     * The machine that a stored placement names. One that the shard does not have any more is kept until it is
     * returned.
     */
    fun named(machineName: String): Machine = shardState.machines.getOrPut(machineName) {
        Machine(MachineRecord(machineName, "", "", false), null, shardState.clock.now(), shardState.token).apply {
            decommissionReason =
                DecommissionReason.MISSED_HEARTBEATS
        }
    }

    /** Takes up the machines that the records now name for the shard. */
    fun sync() {
        val recorded = records.transferTargetsOf(shardState.index)
        val names = recorded.keys.mapTo(HashSet()) { it.name }
        lifecycle.onRecordedMachines(names)
        for ((record, destination) in recorded) if (!lifecycle.isGone(record.name)) sync(record, destination)
        // A machine that has left for another shard left it empty.
        shardState.machines.values.removeIf { it.name !in names && it.placements.isEmpty() && !it.returning }
        shardState.passRequested = true
    }

    private fun sync(record: MachineRecord, destination: Int?) {
        val known = shardState.machines[record.name]
        val machine = if (known == null || known.record.typeName.isEmpty()) added(record, known) else known
        if (destination != null && machine.decommissionReason == null) {
            machine.decommissionReason = DecommissionReason.TRANSFER
            machine.movingSince = shardState.clock.now()
        }
        if (destination == null &&
            machine.decommissionReason == DecommissionReason.TRANSFER
        ) {
            machine.decommissionReason = null
        }
    }

    private fun added(record: MachineRecord, known: Machine?): Machine {
        val type = shardState.machineTypeOf(record.typeName)
        val machine =
            Machine(record, type, shardState.clock.now(), shardState.token, records.machineDirectory.of(record.name))
        // An address known from another owner: the machine was up before.
        machine.everReported = machine.addr != null
        known?.placements?.values?.toList()?.forEach { old ->
            val placement = Placement(old.job, old.task, old.attempt, machine, old.madeAt).apply {
                committed =
                    old.committed
            }
            old.job.chunkOf(old.task).placements[old.task] = placement
            machine.add(placement)
        }
        shardState.machines[record.name] = machine
        return machine
    }

    /** The cloud's machine types are known anew. */
    fun typesChanged() {
        for (machine in shardState.machines.values) {
            shardState.machineTypeOf(machine.record.typeName)?.let {
                machine.machineType =
                    it
            }
        }
        shardState.jobs.values.forEach { it.expensiveTypes.clear() }
        shardState.passRequested = true
    }
}

package io.reedmast.jobs

import io.reedmast.workers.HostRecord
import io.reedmast.workers.Machine
import io.reedmast.workers.MachineLifecycle
import io.reedmast.workers.Retirement

/** Brings the machines of a shard, as its owner knows them, in line with those that the records name. */
class ShardMachines(private val shardState: ShardState, private val lifecycle: MachineLifecycle, private val records: ShardRecords) {
    /** The machine that a stored placement names. One that the shard does not have any more is kept until it is returned. */
    fun named(host: String): Machine = shardState.machines.getOrPut(host) {
        Machine(HostRecord(host, "", "", false), null, shardState.clock.now(), shardState.token).apply { retirement = Retirement.SILENT }
    }

    /** Takes up the machines that the records now name for the shard. */
    fun sync() {
        val recorded = records.machinesOf(shardState.index)
        val names = recorded.keys.mapTo(HashSet()) { it.name }
        lifecycle.noteRecorded(names)
        for ((host, destination) in recorded) if (!lifecycle.isGone(host.name)) sync(host, destination)
        // A machine that has left for another shard left it empty.
        shardState.machines.values.removeIf { it.name !in names && it.placements.isEmpty() && !it.returning }
        shardState.placeWanted = true
    }

    private fun sync(host: HostRecord, destination: Int?) {
        val known = shardState.machines[host.name]
        val machine = if (known == null || known.record.typeName.isEmpty()) added(host, known) else known
        if (destination != null && machine.retirement == null) {
            machine.retirement = Retirement.MOVING
            machine.movingSince = shardState.clock.now()
        }
        if (destination == null && machine.retirement == Retirement.MOVING) machine.retirement = null
    }

    private fun added(host: HostRecord, known: Machine?): Machine {
        val type = shardState.machineTypeOf(host.typeName)
        val machine = Machine(host, type, shardState.clock.now(), shardState.token, records.hostDirectory.of(host.name))
        // An address known from another owner: the machine was up before.
        machine.everHeard = machine.addr != null
        known?.placements?.values?.toList()?.forEach { old ->
            val placement = Placement(old.job, old.task, old.attempt, machine, old.madeAt).apply { committed = old.committed }
            old.job.chunkOf(old.task).placements[old.task] = placement
            machine.add(placement)
        }
        shardState.machines[host.name] = machine
        return machine
    }

    /** The cloud's machine types are known anew. */
    fun typesChanged() {
        for (machine in shardState.machines.values) shardState.machineTypeOf(machine.record.typeName)?.let { machine.machineType = it }
        shardState.jobs.values.forEach { it.dearTypes.clear() }
        shardState.placeWanted = true
    }
}

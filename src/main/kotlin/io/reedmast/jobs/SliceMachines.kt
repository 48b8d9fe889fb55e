package io.reedmast.jobs

import io.reedmast.workers.HostRecord
import io.reedmast.workers.Machine
import io.reedmast.workers.MachineLifecycle
import io.reedmast.workers.Retirement

/** Brings the machines of a slice, as its owner knows them, in line with those that the records name. */
class SliceMachines(private val sliceState: SliceState, private val lifecycle: MachineLifecycle, private val records: SliceRecords) {
    /** The machine that a stored placement names. One that the slice does not have any more is kept until it is returned. */
    fun named(host: String): Machine = sliceState.machines.getOrPut(host) {
        Machine(HostRecord(host, "", "", false), null, sliceState.clock.now(), sliceState.token).apply { retirement = Retirement.SILENT }
    }

    /** Takes up the machines that the records now name for the slice. */
    fun sync() {
        val recorded = records.machinesOf(sliceState.index)
        val names = recorded.keys.mapTo(HashSet()) { it.name }
        lifecycle.noteRecorded(names)
        for ((host, destination) in recorded) if (!lifecycle.isGone(host.name)) sync(host, destination)
        // A machine that has left for another slice left it empty.
        sliceState.machines.values.removeIf { it.name !in names && it.placements.isEmpty() && !it.returning }
        sliceState.placeWanted = true
    }

    private fun sync(host: HostRecord, destination: Int?) {
        val known = sliceState.machines[host.name]
        val machine = if (known == null || known.record.typeName.isEmpty()) added(host, known) else known
        if (destination != null && machine.retirement == null) {
            machine.retirement = Retirement.MOVING
            machine.movingSince = sliceState.clock.now()
        }
        if (destination == null && machine.retirement == Retirement.MOVING) machine.retirement = null
    }

    private fun added(host: HostRecord, known: Machine?): Machine {
        val type = sliceState.machineTypeOf(host.typeName)
        val machine = Machine(host, type, sliceState.clock.now(), sliceState.token, records.hostDirectory.of(host.name))
        // An address known from another owner: the machine was up before.
        machine.everHeard = machine.addr != null
        known?.placements?.values?.toList()?.forEach { old ->
            val placement = Placement(old.job, old.task, old.attempt, machine, old.madeAt).apply { committed = old.committed }
            old.job.chunkOf(old.task).placements[old.task] = placement
            machine.add(placement)
        }
        sliceState.machines[host.name] = machine
        return machine
    }

    /** The cloud's machine types are known anew. */
    fun typesChanged() {
        for (machine in sliceState.machines.values) sliceState.machineTypeOf(machine.record.typeName)?.let { machine.machineType = it }
        sliceState.jobs.values.forEach { it.dearTypes.clear() }
        sliceState.placeWanted = true
    }
}

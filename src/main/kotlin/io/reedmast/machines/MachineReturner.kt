package io.reedmast.machines

import io.reedmast.model.Machine
import io.reedmast.model.ShardState
import io.reedmast.ports.Cloud
import io.reedmast.ports.ReturnResult
import org.slf4j.LoggerFactory

/**
 * Returns machines to the cloud, and has those that are gone removed from the shard's records.
 *
 * Only the cloud's answer is evidence that a machine and what was on it are gone (PROTOCOL, POST /machines/return).
 */
internal class MachineReturner(
    private val shardState: ShardState,
    private val cloud: Cloud,
    private val requests: MachineLifecycleRequests,
) {
    private val log = LoggerFactory.getLogger("shard")
    private val pending = LinkedHashSet<Machine>()
    private var isReturnInFlight = false

    /** Machines that are returned but may still stand in the shard's records. */
    private val gone = HashSet<String>()
    private var removeDue = 0L

    /** Whether the machine is returned, whatever the records still say. */
    fun isGone(machineName: String) = machineName in gone

    /** The shard's records now name [machineNames] only. */
    fun onRecordedMachines(machineNames: Set<String>) {
        gone.retainAll(machineNames)
    }

    /** Lets [machine] go with the next call to the cloud, unless it is on its way already. */
    fun returnMachine(machine: Machine) {
        if (machine.isReturning || !shardState.isCurrent()) return
        machine.isReturning = true
        pending.add(machine)
    }

    /** Called periodically: sends what is due to the cloud and to the records. */
    fun runOnce(now: Long) {
        sendReturns()
        if (gone.isEmpty() || now < removeDue) return
        removeDue = now + REMOVE_EVERY_MS
        requests.removeMachines(gone)
    }

    /**
     * One call for all machines that are to go, and one call at a time.
     *
     * A call for each made silent machines wait, with the replicas on them, behind idle ones for this controller's part
     * of the cloud's limit.
     */
    private fun sendReturns() {
        if (isReturnInFlight || pending.isEmpty() || !shardState.isCurrent()) return
        val batch = pending.take(MAX_MACHINES_PER_RETURN)
        pending.removeAll(batch.toSet())
        isReturnInFlight = true
        cloud.returnMachines(batch.map { it.name }) { result ->
            isReturnInFlight = false
            if (!shardState.dropped) onAnswer(batch, result)
        }
    }

    /** A return that was not confirmed is tried again while the machine is still to go. */
    private fun onAnswer(batch: List<Machine>, result: ReturnResult) = batch.forEach {
        when (result) {
            ReturnResult.CONFIRMED -> onGone(it)
            ReturnResult.UNCONFIRMED -> it.isReturning = false
        }
    }

    /** The cloud has confirmed that the machine and all that was on it are gone. */
    private fun onGone(machine: Machine) {
        machine.placements.values.toList().forEach {
            log.info("task {} attempt {}: terminated with machine {}", it.id, it.attempt, machine.name)
            shardState.finish(it, done = false)
        }
        shardState.jobs.values.forEach { it.failedOn.remove(machine) }
        shardState.machines.remove(machine.name)
        gone.add(machine.name)
        removeDue = minOf(removeDue, shardState.clock.now() + REMOVE_SOON_MS)
    }

    private companion object {
        /** The cloud takes no more names in one call (PROTOCOL, POST /machines/return). */
        const val MAX_MACHINES_PER_RETURN = 100
        const val REMOVE_EVERY_MS = 2_000L

        /** Machines that go at nearly the same time are removed together. */
        const val REMOVE_SOON_MS = 500L
    }
}

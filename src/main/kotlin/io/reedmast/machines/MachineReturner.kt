package io.reedmast.machines

import io.reedmast.model.Machine
import io.reedmast.model.ShardState
import io.reedmast.ports.Cloud
import io.reedmast.ports.ReturnResult
import org.slf4j.LoggerFactory

/**
 * Returns machines to the cloud, and requests that those that are gone be removed from the shard's records.
 *
 * Only the cloud's answer proves that a machine and the tasks on it are gone (PROTOCOL, POST /machines/return).
 */
internal class MachineReturner(
    private val shardState: ShardState,
    private val cloud: Cloud,
    private val requests: MachineLifecycleRequests,
) {
    private val log = LoggerFactory.getLogger("shard")
    private val pending = LinkedHashSet<Machine>()
    private var isReturnInFlight = false

    /** Machines that have been returned but may still be in the shard's records. */
    private val gone = HashSet<String>()
    private var removalDueAt = 0L

    /** Whether the machine has been returned to the cloud, even if the records still contain it. */
    fun isGone(machineName: String) = machineName in gone

    /** Called when the shard's records have been read: they now contain only the machines [machineNames]. */
    fun onRecordedMachines(machineNames: Set<String>) {
        gone.retainAll(machineNames)
    }

    /** Returns [machine] with the next call to the cloud, unless its return is already in progress. */
    fun returnMachine(machine: Machine) {
        if (machine.isReturning || !shardState.isCurrent()) return
        machine.isReturning = true
        pending.add(machine)
    }

    /** Called periodically: sends the returns to the cloud and the removals from the records that are due. */
    fun runOnce(now: Long) {
        sendReturns()
        if (gone.isEmpty() || now < removalDueAt) return
        removalDueAt = now + REMOVAL_INTERVAL_MS
        requests.removeMachines(gone)
    }

    /**
     * Returns all pending machines together in one call, and makes one call at a time.
     *
     * With a separate call for each machine, silent machines and the replicas on them had to wait behind idle machines
     * for this controller's share of the cloud's rate limit.
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

    /** A return that was not confirmed is retried as long as the machine is still to be returned. */
    private fun onAnswer(batch: List<Machine>, result: ReturnResult) = batch.forEach {
        when (result) {
            ReturnResult.CONFIRMED -> onGone(it)
            ReturnResult.UNCONFIRMED -> it.isReturning = false
        }
    }

    /** Called when the cloud has confirmed that the machine and everything on it are gone. */
    private fun onGone(machine: Machine) {
        machine.placements.values.toList().forEach {
            log.info("task {} attempt {}: terminated with machine {}", it.id, it.attempt, machine.name)
            shardState.finish(it, done = false)
        }
        shardState.jobs.values.forEach { it.failedOn.remove(machine) }
        shardState.machines.remove(machine.name)
        gone.add(machine.name)
        removalDueAt = minOf(removalDueAt, shardState.clock.now() + REMOVAL_DELAY_MS)
    }

    private companion object {
        /** The most names that the cloud accepts in one call (PROTOCOL, POST /machines/return). */
        const val MAX_MACHINES_PER_RETURN = 100
        const val REMOVAL_INTERVAL_MS = 2_000L

        /** Delay so that machines that are returned at nearly the same time are removed from the records together. */
        const val REMOVAL_DELAY_MS = 500L
    }
}

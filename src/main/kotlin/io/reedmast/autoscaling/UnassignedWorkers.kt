package io.reedmast.autoscaling

import io.reedmast.model.MachineRecord
import io.reedmast.ports.WorkerTransport
import io.reedmast.wire.MalformedException
import io.reedmast.wire.Reply
import io.reedmast.wire.WorkerStatus
import org.slf4j.LoggerFactory

/** Assigns the machines of workers that send heartbeats but belong to no shard to one. */
internal class UnassignedWorkers(
    private val workers: WorkerTransport,
    private val fleet: FleetView,
    private val intake: MachineIntake,
) {
    private val log = LoggerFactory.getLogger("autoscaler")

    /** Names of the machines whose workers have been called and have not answered yet. */
    private val calledMachines = HashSet<String>()

    /**
     * Called when a worker that belongs to no shard has sent a heartbeat. Its machine is assigned to a shard once the
     * worker has answered a call.
     *
     * The heartbeat alone is not enough. It may be a late copy from a machine that was returned, which must not be
     * assigned to a shard again; and a machine whose worker cannot be called is of no use.
     */
    fun onHeartbeat(status: WorkerStatus) {
        if (!fleet.leading || !fleet.isCurrent() || intake.isLeaving(status.machineName)) return
        // At a first start, shards get owners one by one; waiting for all of them spreads the machines evenly.
        if (fleet.hasUnownedShards) return
        if (status.machineName in intake.unassignedNames || calledMachines.size >= MAX_CALLS_IN_FLIGHT) return
        if (calledMachines.add(status.machineName)) call(status)
    }

    private fun call(status: WorkerStatus) {
        // Neither token nor epoch is the worker's: it executes nothing, and its refusal contains its newest status.
        workers.call(status.addr, 0L, 0L, emptyList()) { reply ->
            calledMachines.remove(status.machineName)
            if (reply is Reply.Answer && reply.status in ANSWERS_WITH_STATUS) onAnswer(status.machineName, reply)
        }
    }

    private fun onAnswer(machineName: String, answer: Reply.Answer) {
        try {
            val newest = WorkerStatus.parse(answer.body)
            if (newest.machineName == machineName && fleet.leading) accept(newest)
        } catch (e: MalformedException) {
            log.error("machine {}: malformed answer: {}", machineName, e.message)
        }
    }

    private fun accept(status: WorkerStatus) {
        val shard = intake.shardWithFewestCpus()
        val record = MachineRecord(status.machineName, status.typeName, status.zone, status.spot)
        val decision = intake.offer(record, shard, IntakeSource.HEARTBEAT, status.token)
        if (decision != IntakeDecision.Accepted) return
        log.info(
            "machine {}: sends heartbeats and belongs to no shard, assigned to shard {}",
            status.machineName,
            shard.value,
        )
        intake.assignWaitingMachines()
    }

    private companion object {
        const val MAX_CALLS_IN_FLIGHT = 64
        const val HTTP_OK = 200
        const val HTTP_CONFLICT = 409

        /** A worker that accepts a call and one that refuses it both answer with their status. */
        val ANSWERS_WITH_STATUS = setOf(HTTP_OK, HTTP_CONFLICT)
    }
}

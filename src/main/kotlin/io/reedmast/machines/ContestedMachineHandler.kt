package io.reedmast.machines

import io.reedmast.model.Machine
import io.reedmast.model.RecordConflict
import io.reedmast.model.ShardState
import org.slf4j.LoggerFactory

/**
 * Decides when a contested machine is released or lost: one that the records of other shards contain too, as earlier
 * versions sometimes stored them.
 *
 * Nothing is placed on such a machine, and no owner returns it while another shard may have work on it. An owner that
 * has no work there removes the machine from its own record, on condition that the other record still contains it.
 */
internal class ContestedMachineHandler(private val shardState: ShardState, private val silentAfterMs: Long) {
    private val log = LoggerFactory.getLogger("shard")
    private val leaseMs = (shardState.settings.workers.leaseS * MS_PER_S).toLong()

    /** Whether this owner has no work on [machine] and should now leave it to the other owners. */
    fun isReleasable(machine: Machine, now: Long): Boolean {
        val isFree = machine.placements.isEmpty() && machine.pendingDirectCalls == 0 && machine.isDurablyEmpty
        // The delay lets the other owners release it first: of several owners without work there, the one that answers
        // the worker keeps the machine.
        val delayMs = if (machine.recordConflict == RecordConflict.ANSWERED_HERE) ANSWERING_OWNER_DELAY_MS else 0L
        return isFree && !machine.isReturning && now - machine.conflictSince >= delayMs
    }

    /**
     * Whether [machine] has been silent for so long that its worker's lease has expired and no shard's work runs there
     * any more. Only the owner that answers the worker can determine this.
     */
    fun isLost(machine: Machine, observationGapUntil: Long, now: Long): Boolean {
        if (machine.recordConflict != RecordConflict.ANSWERED_HERE) return false
        val silentSince =
            maxOf(machine.lastHeartbeatAt, machine.conflictSince, shardState.activeAt, observationGapUntil)
        return now - silentSince > leaseMs + silentAfterMs
    }

    /** Logs that [machine] is decommissioned for all shards. */
    fun logLost(machine: Machine, now: Long) = log.info(
        "machine {}: recorded in several shards, no heartbeat for {} s, decommissioned",
        machine.name,
        (now - machine.lastHeartbeatAt) / MS_PER_S.toLong(),
    )

    private companion object {
        const val MS_PER_S = 1000.0
        const val ANSWERING_OWNER_DELAY_MS = 5_000L
    }
}

package io.reedmast.machines

import io.reedmast.model.Machine
import io.reedmast.model.RecordConflict
import io.reedmast.model.ShardState
import org.slf4j.LoggerFactory

/**
 * Machines that the records of other shards name too, as earlier versions stored them at times.
 *
 * Nothing is placed there and nobody returns them while the other shard may have work on them. An owner that has
 * nothing there takes the machine out of its own record, on condition that the other record still names it.
 */
internal class ContestedMachineHandler(private val shardState: ShardState, private val silentAfterMs: Long) {
    private val log = LoggerFactory.getLogger("shard")
    private val leaseMs = (shardState.settings.workers.leaseS * MS_PER_S).toLong()

    /** Whether this owner has nothing on [machine] and is to leave it to the others. */
    fun isReleasable(machine: Machine, now: Long): Boolean {
        val isFree = machine.placements.isEmpty() && machine.pendingDirectCalls == 0 && machine.isDurablyEmpty
        // The others leave first: of several owners without work there, the one that answers the worker keeps it.
        val delayMs = if (machine.recordConflict == RecordConflict.ANSWERED_HERE) OTHERS_FIRST_MS else 0L
        return isFree && !machine.isReturning && now - machine.conflictSince >= delayMs
    }

    /**
     * Whether [machine] has been silent for so long that its worker's lease is over, so that nobody's work runs there
     * any more. Only the owner that answers the worker can tell.
     */
    fun isLost(machine: Machine, observationGapUntil: Long, now: Long): Boolean {
        if (machine.recordConflict != RecordConflict.ANSWERED_HERE) return false
        val heardAt = maxOf(machine.lastHeartbeatAt, machine.conflictSince, shardState.activeAt, observationGapUntil)
        return now - heardAt > leaseMs + silentAfterMs
    }

    /** Logs that [machine] is given up for all shards. */
    fun logLost(machine: Machine, now: Long) = log.info(
        "machine {}: recorded in several shards, no heartbeat for {} s, decommissioned",
        machine.name,
        (now - machine.lastHeartbeatAt) / MS_PER_S.toLong(),
    )

    private companion object {
        const val MS_PER_S = 1000.0
        const val OTHERS_FIRST_MS = 5_000L
    }
}

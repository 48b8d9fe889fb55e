package io.reedmast.autoscaling

import io.reedmast.model.MachineRecord
import io.reedmast.settings.ShardId

/**
 * The cluster as the leader's decisions about machines see it, and the changes that they make to the records of
 * machines.
 */
interface FleetView {
    /** Whether this controller leads. */
    val leading: Boolean

    /**
     * The term in which this controller leads, once all that earlier leaders stored is known here; null if it does not
     * lead, or not yet knows.
     */
    val leaderTerm: Long?

    /** Whether this controller has lately heard enough from the store to decide anything, and may. */
    fun isCurrent(): Boolean

    /** Whether everything that was stored before [time], in milliseconds, is known here. */
    fun hasObserved(time: Long): Boolean

    /** How many shards there are; they are numbered from 0. */
    val shardCount: Int

    /** Whether some shard has never had an owner. */
    val hasUnownedShards: Boolean

    /** The shard that the machine belongs to; null if it belongs to none. */
    fun shardOfMachine(machineName: String): ShardId?

    /** The machines that belong to the shard. */
    fun machinesOf(shard: ShardId): Sequence<MachineRecord>

    /** Version of the newest change to the shard's machines. */
    fun machinesVersion(shard: ShardId): Long

    /** Whether the machine has left all shards lately: lists and late copies of heartbeats may still show it. */
    fun departedRecently(machineName: String): Boolean

    /** A machine of no shard is gone: lists and late messages that still show it count for nothing. */
    fun recordDeparture(machineName: String)

    /** Whether the machine is to leave the shard for another one as soon as it is empty. */
    fun isMarkedForTransfer(shard: ShardId, machineName: String): Boolean

    /** Adds machines to a shard; [highestTokenSeen] is the highest token that any of their workers has seen. */
    fun addMachines(
        shard: ShardId,
        records: List<MachineRecord>,
        highestTokenSeen: Long,
        onDone: (AddMachinesResult) -> Unit,
    )

    /** Marks machines that are to leave for another shard as soon as they are empty. */
    fun markForTransfer(shard: ShardId, machineNames: Collection<String>, to: ShardId)
}

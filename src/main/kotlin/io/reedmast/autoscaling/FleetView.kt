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

    /** Whether this controller has lately heard enough from the store to decide anything, and may. */
    fun isCurrent(): Boolean

    val shardCount: Int

    /** Whether some shard has never had an owner. */
    val hasUnownedShards: Boolean

    /** The shard that the machine belongs to, if any. */
    fun shardOfMachine(machineName: String): ShardId?

    fun machinesOf(shard: ShardId): Sequence<MachineRecord>

    /** Version of the newest change to the shard's machines. */
    fun machinesVersion(shard: ShardId): Long

    /** Whether the machine has left all shards lately: lists and late copies of heartbeats may still show it. */
    fun departedLately(machineName: String): Boolean

    fun isMarkedForTransfer(shard: ShardId, machineName: String): Boolean

    /** Gives machines to a shard; [seen] is the highest token that any of them has seen. [done] tells which were. */
    fun addMachines(shard: ShardId, records: List<MachineRecord>, seen: Long, done: (Set<String>) -> Unit)

    /** Marks machines that are to leave for another shard as soon as they are empty. */
    fun markForTransfer(shard: ShardId, machineNames: Collection<String>, to: ShardId)
}

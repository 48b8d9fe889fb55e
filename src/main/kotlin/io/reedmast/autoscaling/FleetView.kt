package io.reedmast.autoscaling

import io.reedmast.model.MachineRecord
import io.reedmast.settings.ShardId

/**
 * The view of the cluster on which the leader bases its decisions about machines, and the changes to the machines'
 * records that these decisions require.
 */
interface FleetView {
    /** Whether this controller leads. */
    val leading: Boolean

    /**
     * The term in which this controller leads, once everything that earlier leaders stored is known here; null before
     * that, and if this controller does not lead.
     */
    val leaderTerm: Long?

    /** Whether this controller's view of the store is recent enough to base decisions on it, and it may take part. */
    fun isCurrent(): Boolean

    /** Whether everything that was stored before [time], in milliseconds, is known here. */
    fun hasObserved(time: Long): Boolean

    /** How many shards there are; they are numbered from 0. */
    val shardCount: Int

    /** Whether any shard has never had an owner. */
    val hasUnownedShards: Boolean

    /** The shard that the machine belongs to; null if it belongs to none. */
    fun shardOfMachine(machineName: String): ShardId?

    /** The machines that belong to the shard. */
    fun machinesOf(shard: ShardId): Sequence<MachineRecord>

    /** Version of the newest change to the shard's machines. */
    fun machinesVersion(shard: ShardId): Long

    /** Whether the machine recently left all shards; the cloud's lists and late heartbeats may still show it. */
    fun departedRecently(machineName: String): Boolean

    /** Records that a machine of no shard is gone, so that lists and late messages that still show it are ignored. */
    fun recordDeparture(machineName: String)

    /** Whether the machine is to move from the shard to another one as soon as it is empty. */
    fun isMarkedForTransfer(shard: ShardId, machineName: String): Boolean

    /** Adds machines to a shard; [highestTokenSeen] is the highest token that any of their workers has seen. */
    fun addMachines(
        shard: ShardId,
        records: List<MachineRecord>,
        highestTokenSeen: Long,
        onDone: (AddMachinesResult) -> Unit,
    )

    /** Marks machines that are to move to the shard [to] as soon as they are empty. */
    fun markForTransfer(shard: ShardId, machineNames: Collection<String>, to: ShardId)
}

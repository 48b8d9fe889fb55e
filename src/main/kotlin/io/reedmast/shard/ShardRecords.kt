package io.reedmast.shard

import io.reedmast.jobs.JobIndex
import io.reedmast.model.MachineDirectory
import io.reedmast.model.MachineRecord
import io.reedmast.model.RecordConflict
import io.reedmast.settings.ShardId

/**
 * The records of shards and their machines. A shard's owner requests changes to them; others may change them too.
 *
 * A request returns at once. Its outcome appears in the records, and the owner is notified then.
 */
interface ShardRecords {
    /** The unfinished jobs of all shards. */
    val jobs: JobIndex

    /** What is known about the machines of all shards. */
    val machineDirectory: MachineDirectory

    /** The rollout of features and this controller's part in it. */
    val rollout: ShardRollout

    /**
     * The shard's machines by the records, each with the index of the shard that it is to move to; null if it stays.
     */
    fun transferTargetsOf(shard: ShardId): Map<MachineRecord, Int?>

    /** Whether the records of other shards contain the machine too, and whose owner then answers its worker. */
    fun recordConflictOf(shard: ShardId, machineName: String): RecordConflict

    /** Removes machines that other shards' records contain too from the shard's records. */
    fun releaseContested(shard: ShardId, machineNames: Collection<String>)

    /** The version of the newest change to the records of the shard's machines. */
    fun machinesVersion(shard: ShardId): Long

    /** Requests a new token, since a worker has seen a higher one than the owner's. */
    fun renewToken(shard: ShardId)

    /** Reads the shard's record again, since its term may have changed. */
    fun refreshShardRecord(shard: ShardId)

    /** Asks the other controllers to acquire the shard, since its workers do not reach this controller. */
    fun requestFailover(shard: ShardId)

    /** Removes machines that have been returned to the cloud. */
    fun removeMachines(shard: ShardId, machineNames: Set<String>)

    /** Moves empty machines to the shards that they are marked for. */
    fun transferMachines(from: ShardId, machineNames: Collection<String>)
}

package io.reedmast.shard

import io.reedmast.jobs.JobIndex
import io.reedmast.model.MachineDirectory
import io.reedmast.model.MachineRecord
import io.reedmast.model.RecordConflict
import io.reedmast.settings.ShardId

/**
 * The records of shards and their machines, which their owner asks to change and others may change too.
 *
 * A request returns at once; what comes of it shows in the records, and the owner is told then.
 */
interface ShardRecords {
    /** All unfinished jobs. */
    val jobs: JobIndex

    /** What is known of the machines of all shards. */
    val machineDirectory: MachineDirectory

    /** What is rolled out, and this controller's part in it. */
    val rollout: ShardRollout

    /** The machines that the records name for the shard, and the shards that they are to move to (null: they stay). */
    fun transferTargetsOf(shard: ShardId): Map<MachineRecord, Int?>

    /** Whether the records of other shards name the shard's machine too, and who answers its worker then. */
    fun recordConflictOf(shard: ShardId, machineName: String): RecordConflict

    /** Takes machines that other shards' records name too out of the shard's records. */
    fun releaseContested(shard: ShardId, machineNames: Collection<String>)

    /** The version of the newest change to these records. */
    fun machinesVersion(shard: ShardId): Long

    /** Asks for a fresh token: a worker has seen a higher one than ours. */
    fun renewToken(shard: ShardId)

    /** The term may have moved on: read the record again. */
    fun refreshShardRecord(shard: ShardId)

    /** Asks the other controllers to acquire the shard, since its workers do not reach this one. */
    fun requestFailover(shard: ShardId)

    /** Removes machines that have been returned to the cloud. */
    fun removeMachines(shard: ShardId, machineNames: Set<String>)

    /** Gives empty machines to the shards that they are marked to leave for. */
    fun transferMachines(shard: ShardId, machineNames: Collection<String>)
}

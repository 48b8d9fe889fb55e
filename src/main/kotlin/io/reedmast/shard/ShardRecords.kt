package io.reedmast.shard

import io.reedmast.autoscaling.ArrivalRates
import io.reedmast.autoscaling.DemandEstimator
import io.reedmast.autoscaling.ScaleInPolicy
import io.reedmast.autoscaling.UsageSummaryWriter
import io.reedmast.cluster.ShardRecord
import io.reedmast.commands.CommandDispatcher
import io.reedmast.gangs.GangCoordinator
import io.reedmast.heartbeats.HeartbeatHandler
import io.reedmast.jobs.JobIndex
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.StoredItem
import io.reedmast.machines.MachineLifecycle
import io.reedmast.model.MachineDirectory
import io.reedmast.model.MachineRecord
import io.reedmast.ports.Clock
import io.reedmast.ports.Gateway
import io.reedmast.rollout.MigrationUnit
import io.reedmast.scheduling.Scheduler
import io.reedmast.settings.Settings
import io.reedmast.settings.ShardId
import io.reedmast.settings.Tuning
import io.reedmast.wire.MachineType
import io.reedmast.wire.MalformedException
import io.reedmast.wire.WorkerCommand
import io.reedmast.wire.WorkerStatus
import org.slf4j.LoggerFactory

/** The records of shards and their machines, which their owner asks to change and others may change too. */
interface ShardRecords {
    val jobs: JobIndex
    val machineDirectory: MachineDirectory

    /** What is rolled out, and this controller's part in it. */
    val rollout: ShardRollout

    /** The machines that the records name for the shard, and the shards that they are to move to. */
    fun transferTargetsOf(shard: ShardId): Map<MachineRecord, Int?>

    /** Stamp of the newest change to them. */
    fun machinesVersion(shard: ShardId): Long

    /** Asks for a fresh token: a worker has seen a higher one than ours. */
    fun renewToken(shard: ShardId)

    /** The term may have moved on: read the record again. */
    fun refresh(shard: ShardId)

    /** Asks the other controllers to take the shard, since its workers do not reach this one. */
    fun requestFailover(shard: ShardId)

    fun removeMachines(shard: ShardId, machineNames: Set<String>)

    /** Gives empty machines to the shards that they are marked to leave for. */
    fun transferMachines(shard: ShardId, machineNames: Collection<String>)
}

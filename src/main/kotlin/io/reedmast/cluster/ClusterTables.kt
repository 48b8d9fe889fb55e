package io.reedmast.cluster

import io.reedmast.jobs.JobIndex
import io.reedmast.model.MachineDirectory

/**
 * The tables that hold this controller's knowledge of the cluster, from the watches, its own transactions and the other
 * controllers.
 */
internal class ClusterTables(
    val staleness: WatchStaleness,
    val membership: Membership,
    val rollout: ClusterRollout,
    val shards: ShardTable,
    val machines: MachineTable,
    val jobs: JobIndex,
    val machineDirectory: MachineDirectory,
    /** The owners of this controller's shards. */
    val owners: ShardOwners,
)

package io.reedmast.shard

import io.reedmast.rollout.GateSnapshot
import io.reedmast.rollout.MigrationReconciler
import io.reedmast.rollout.MigrationUnit
import io.reedmast.rollout.RecordAccess
import io.reedmast.rollout.RolloutView

/** The rollout of features as a shard's owner sees it. */
interface ShardRollout {
    /** The gates as they now stand; a decision asks once and keeps to the answer. */
    val gates: GateSnapshot

    /** What has been read of the rollout. */
    val view: RolloutView

    /** Whether this process takes part in the cluster: nothing is written or answered for it otherwise. */
    val isAdmitted: Boolean

    /** The migration of one part of the records, for whoever may write them. */
    fun reconciler(unit: MigrationUnit, access: RecordAccess): MigrationReconciler

    /** Reads the gates again: a write found that one has moved. */
    fun refreshGates()
}

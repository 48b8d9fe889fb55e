package io.reedmast.shard

import io.reedmast.rollout.GateSnapshot
import io.reedmast.rollout.MigrationReconciler
import io.reedmast.rollout.MigrationUnit
import io.reedmast.rollout.RecordAccess
import io.reedmast.rollout.RolloutView

/** The rollout of features as a shard's owner sees it. */
interface ShardRollout {
    /** The current gates; a decision reads them once and uses that snapshot throughout. */
    val gates: GateSnapshot

    /** The rollout state that has been read. */
    val view: RolloutView

    /**
     * Whether this process may take part in the cluster. Otherwise it writes nothing, except to ask to be included
     * again, and serves no requests, except that heartbeats are acknowledged while the rollout record cannot be read.
     */
    val isAdmitted: Boolean

    /** The migration of one part of the records, to be run by the controller that may write them. */
    fun reconciler(unit: MigrationUnit, access: RecordAccess): MigrationReconciler

    /** Reads the gates again, since a write has found that one has changed. */
    fun refreshGates()
}

package io.reedmast.rollout

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition

/**
 * The gates as they stood at one moment. A decision takes one snapshot and keeps to it from beginning to end.
 *
 * @property version the version of the stored record, 0 if there is none
 */
class GateSnapshot(val record: RolloutRecord, val version: Long) {
    /**
     * The condition that no gate has moved since. It goes with every write whose form depends on a gate: a process that
     * has not heard of a move, however long ago, can then store nothing in a form that the others no longer expect.
     */
    val precondition = Precondition(Keys.ROLLOUT, version)

    /** Whether new records have the form of [feature]. */
    fun writesNewFormat(feature: FeatureName): Boolean = when (record.stateOf(feature)) {
        GateState.ENABLED, GateState.FINALIZED -> true
        GateState.DORMANT, GateState.READY, GateState.REVERTING -> false
    }

    /** Whether records in the form of [feature] are being brought back to the old one. */
    fun isReverting(feature: FeatureName): Boolean = record.stateOf(feature) == GateState.REVERTING

    companion object {
        /** Nothing has ever been rolled out. */
        val NONE = GateSnapshot(RolloutRecord(), 0L)
    }
}

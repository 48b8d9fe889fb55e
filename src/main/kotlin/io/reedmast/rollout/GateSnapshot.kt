package io.reedmast.rollout

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition

/**
 * The states of the gates at one moment. A decision uses the same snapshot from beginning to end.
 *
 * @property version the version of the rollout record's key, 0 if there is none
 */
class GateSnapshot(val record: RolloutRecord, val version: Long) {
    /**
     * The precondition that no gate has changed since. It is part of every write whose format depends on a gate, so
     * that a process that has not learned of a transition, however long ago it was, can store nothing in a format that
     * the others no longer expect.
     */
    val precondition = Precondition(Keys.ROLLOUT, version)

    /** Whether new records are written in the format of [feature]. */
    fun writesNewFormat(feature: FeatureName): Boolean = when (record.stateOf(feature)) {
        GateState.ENABLED, GateState.FINALIZED -> true
        GateState.DORMANT, GateState.READY, GateState.REVERTING -> false
    }

    /** Whether records in the format of [feature] are being converted back to the old one. */
    fun isReverting(feature: FeatureName): Boolean = record.stateOf(feature) == GateState.REVERTING

    companion object {
        /** No feature has ever been rolled out. */
        val NONE = GateSnapshot(RolloutRecord(), 0L)
    }
}

package io.reedmast.cluster

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.Write
import io.reedmast.ports.KeyValueStore
import io.reedmast.rollout.Feature
import io.reedmast.rollout.FeatureName
import io.reedmast.rollout.RolloutView
import io.reedmast.settings.Settings
import io.reedmast.wire.Fields
import org.slf4j.LoggerFactory

/**
 * The gate of [ClusterFeatures.dividedRecords], which is older than the rollout record and is stored in a record and
 * form of its own.
 *
 * Each controller publishes the feature's version in its membership key, in a field that earlier versions ignore. The
 * feature cannot be reverted: a controller that has once been seen with this version counts as upgraded for good, and
 * the gate is finalized as soon as all controllers have been seen with it. A process that starts later reads the
 * finalized gate and need not see all of them again.
 */
internal class FormatGate(
    private val settings: Settings,
    private val store: KeyValueStore,
    private val limits: EffectiveLimits,
) {
    private val log = LoggerFactory.getLogger("cluster")

    /** The labels of the controllers that have been seen with the feature's version or a later one. */
    private val upgradedMembers = hashSetOf(settings.label)
    private var isFinalized = false
    private var finalizing = false

    /** The feature, once its gate is known to be finalized. */
    val finalized: Set<FeatureName> get() = if (isFinalized) setOf(feature.name) else emptySet()

    /** Applies the value under [path], if that is the gate's key or a membership key; a deletion changes nothing. */
    fun applyRecord(path: String, value: Fields?) {
        if (value == null || !readsDividedRecords(value)) return
        if (path == Keys.FORMAT) {
            isFinalized = true
            reduceLimits()
        }
        if (path.startsWith(Keys.MEMBERS)) upgradedMembers.add(path.removePrefix(Keys.MEMBERS))
    }

    private fun reduceLimits() {
        if (!limits.isReduced) log.info("cluster: every controller reads format {}", feature.requires)
        limits.reduce()
    }

    /** Called while the store answers: finalizes the gate once every controller has been seen with the feature. */
    fun runOnce() {
        if (isFinalized || finalizing || !settings.members.all { it.label in upgradedMembers }) return
        reduceLimits()
        finalizing = true
        val preconditions = listOf(Precondition(Keys.FORMAT, 0))
        store.commit(
            CasTransaction(preconditions, listOf(Write.Put(Keys.FORMAT, fields()))) { outcome ->
                finalizing = false
                // A conflict means that another controller has stored the same record.
                if (outcome !is CommitOutcome.Refused) isFinalized = true
            },
        )
    }

    companion object {
        private val feature: Feature = ClusterFeatures.dividedRecords

        /** The field that states the version, in a membership key and in the gate's own record. */
        fun fields(): Fields = mapOf(RolloutView.LEGACY_VERSION to feature.requires.value.toLong())

        /** Whether [value], of a membership key or the gate's record, states the feature's version or a later one. */
        fun readsDividedRecords(value: Fields): Boolean =
            (value[RolloutView.LEGACY_VERSION] as? Long ?: 0L) >= feature.requires.value
    }
}

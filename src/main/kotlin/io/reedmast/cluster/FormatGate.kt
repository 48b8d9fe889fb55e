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
 * The gate of [ClusterFeatures.dividedRecords], which is older than the record of the rollout and keeps its own stored
 * form.
 *
 * Each controller names the feature's version in its membership key, where earlier versions ignore the field. The
 * feature cannot be taken back: a controller that has been seen with it counts for good, and the gate is finalized at
 * once when all have been. A process that starts later need not see all of them again.
 */
class FormatGate(
    private val settings: Settings,
    private val store: KeyValueStore,
    private val limits: EffectiveLimits,
) {
    private val log = LoggerFactory.getLogger("cluster")
    private val upgraded = hashSetOf(settings.label)
    private var stored = false
    private var storing = false

    /** The feature, once its gate is known to be finalized. */
    val finalized: Set<FeatureName> get() = if (stored) setOf(feature.name) else emptySet()

    /** Takes up the value under [path], if it tells of a controller's version or of that of all. */
    fun applyRecord(path: String, value: Fields?) {
        if (value == null) return
        if (path == Keys.FORMAT && isReached(value)) {
            stored = true
            reached()
        }
        if (path.startsWith(Keys.MEMBERS) && isReached(value)) upgraded.add(path.removePrefix(Keys.MEMBERS))
    }

    private fun reached() {
        if (!limits.isReduced) log.info("cluster: every controller reads format {}", feature.requires)
        limits.reduce()
    }

    /** Called while the store is heard. */
    fun runOnce() {
        if (stored || storing || !settings.members.all { it.label in upgraded }) return
        reached()
        storing = true
        store.commit(
            CasTransaction(listOf(Precondition(Keys.FORMAT, 0)), listOf(Write.Put(Keys.FORMAT, fields()))) { outcome ->
                storing = false
                // Refused for its version: another controller has stored the same.
                if (outcome !is CommitOutcome.Refused) stored = true
            },
        )
    }

    companion object {
        private val feature: Feature = ClusterFeatures.dividedRecords

        /** What a controller's key, and the gate's own, say of the version. */
        fun fields(): Fields = mapOf(RolloutView.LEGACY_VERSION to feature.requires.value.toLong())

        /** Whether a record, of a controller or of the gate, names the feature's version or a later one. */
        fun isReached(value: Fields): Boolean =
            (value[RolloutView.LEGACY_VERSION] as? Long ?: 0L) >= feature.requires.value
    }
}

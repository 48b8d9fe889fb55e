package io.reedmast.rollout

import io.reedmast.kvstore.Keys
import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import io.reedmast.wire.optionalCount
import org.slf4j.LoggerFactory

/**
 * What one process has read of the rollout: the rollout record, what controllers publish about themselves, the progress
 * of migrations, and drain orders.
 *
 * Receives every value under the cluster's keys, from listings and from the watch, in any order; the newer version of a
 * key takes precedence.
 */
class RolloutView(private val registry: FeatureRegistry, private val self: String) {
    private val log = LoggerFactory.getLogger("rollout")
    private val present = HashMap<String, PresentMember>()
    private val progress = HashMap<Pair<FeatureName, MigrationUnit>, StoredProgress>()
    private val drains = HashMap<String, StoredDrainOrder>()
    private var appliedVersion = 0L

    /**
     * The gates as last read. While the record cannot be read these are the earlier ones: since their version is no
     * longer the stored one, every write on condition of them fails.
     */
    var gates: GateSnapshot = GateSnapshot.NONE
        private set

    /**
     * Whether this process may take part, according to what it has read so far. Computed when the record changes, as it
     * is read for every decision.
     */
    var admission: Admission = Admission.Admitted
        private set

    val members: Map<String, PresentMember> get() = present

    /** The stored progress of a migration; null if there is none. */
    fun progressOf(feature: FeatureName, unit: MigrationUnit): StoredProgress? = progress[feature to unit]

    /** The drain order for the controller [label]; null if there is none. */
    fun drainOrderOf(label: String): StoredDrainOrder? = drains[label]

    val drainOrders: Map<String, StoredDrainOrder> get() = drains

    /** Discards everything, before all keys are applied again: a key that is not among them no longer exists. */
    fun reset() {
        present.clear()
        progress.clear()
        drains.clear()
        appliedVersion = 0L
        setGates(GateSnapshot.NONE)
    }

    /** Applies the value under [path], if that is one of the rollout's keys; a null [value] is a deletion. */
    fun applyRecord(path: String, value: Fields?, version: Long) {
        when {
            path == Keys.ROLLOUT -> applyRolloutRecord(value, version)
            path.startsWith(Keys.MEMBERS) -> applyMember(path.removePrefix(Keys.MEMBERS), value, version)
            path.startsWith(Keys.MIGRATIONS) -> applyProgress(path.removePrefix(Keys.MIGRATIONS), value, version)
            path.startsWith(Keys.DRAINS) -> applyDrain(path.removePrefix(Keys.DRAINS), value, version)
        }
    }

    private fun applyRolloutRecord(value: Fields?, version: Long) {
        if (version <= appliedVersion) return
        appliedVersion = version
        try {
            setGates(if (value == null) GateSnapshot.NONE else GateSnapshot(RolloutRecord.parse(value), version))
        } catch (e: MalformedException) {
            val reason = "${Keys.ROLLOUT} cannot be read: ${e.message}"
            admission = Admission.RecordUnreadable(reason)
            log.error("{}; writing nothing until it can be read", reason)
        }
    }

    private fun setGates(snapshot: GateSnapshot) {
        gates = snapshot
        admission = Admission.of(self, registry.range, snapshot.record)
    }

    private fun applyMember(label: String, value: Fields?, version: Long) {
        if (value == null) {
            present.remove(label)
            return
        }
        val legacy = FormatVersion(value.optionalCount(LEGACY_VERSION)?.toInt() ?: 0)
        present[label] = PresentMember(MemberVersions.parse(value, legacy), version)
    }

    private fun applyProgress(name: String, value: Fields?, version: Long) {
        val feature = FeatureName(name.substringBeforeLast('/'))
        val unit = unitOf(name.substringAfterLast('/')) ?: return
        val known = progress[feature to unit]
        if (known != null && known.version >= version) return
        if (value == null) {
            progress.remove(feature to unit)
        } else {
            progress[feature to unit] = StoredProgress(MigrationProgress.parse(value), version)
        }
    }

    private fun unitOf(key: String): MigrationUnit? {
        if (key == MigrationUnit.Cluster.key) return MigrationUnit.Cluster
        return key.toIntOrNull()?.let { MigrationUnit.Shard(it) }
    }

    private fun applyDrain(label: String, value: Fields?, version: Long) {
        if (value == null) drains.remove(label) else drains[label] = StoredDrainOrder(DrainOrder.parse(value), version)
    }

    /**
     * The input of a decision about gates; [shards] are the shards' owners, and [externallyFinalized] the features that
     * separate records show to be finalized.
     */
    fun snapshot(configured: Set<String>, shards: List<ShardOwnership?>, externallyFinalized: Set<FeatureName>) =
        ClusterSnapshot(
            configured,
            present.toMap(),
            shards,
            progress.mapValues { it.value.progress },
            externallyFinalized,
        )

    companion object {
        /** The field of a membership key in which earlier versions state their version. */
        const val LEGACY_VERSION = "format"
    }
}

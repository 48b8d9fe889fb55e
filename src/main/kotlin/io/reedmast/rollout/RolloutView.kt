package io.reedmast.rollout

import io.reedmast.kvstore.Keys
import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import io.reedmast.wire.optionalCount
import org.slf4j.LoggerFactory

/**
 * What one process knows of the rollout: the stored record, what controllers publish of themselves, and the progress of
 * migrations.
 *
 * It is told of every value under the cluster's keys, by listings and by the watch, in any order; the newer version of
 * a key counts.
 */
class RolloutView(private val registry: FeatureRegistry, private val self: String) {
    private val log = LoggerFactory.getLogger("rollout")
    private val present = HashMap<String, PresentMember>()
    private val progress = HashMap<Pair<FeatureName, MigrationUnit>, StoredProgress>()
    private val drains = HashMap<String, StoredDrainOrder>()
    private var appliedVersion = 0L

    /**
     * The gates as last read. While the record cannot be read they are those of before, whose version no write can
     * match.
     */
    var gates: GateSnapshot = GateSnapshot.NONE
        private set

    /**
     * Whether this process may take part, by what it has read so far. It is asked for with every decision, and worked
     * out with every change.
     */
    var admission: Admission = Admission.Admitted
        private set

    val members: Map<String, PresentMember> get() = present

    /** The stored progress of a migration; null if there is none. */
    fun progressOf(feature: FeatureName, unit: MigrationUnit): StoredProgress? = progress[feature to unit]

    /** The drain order for the controller [label]; null if there is none. */
    fun drainOrderOf(label: String): StoredDrainOrder? = drains[label]

    val drainOrders: Map<String, StoredDrainOrder> get() = drains

    /** All keys are about to be told anew: what is not among them is gone. */
    fun reset() {
        present.clear()
        progress.clear()
        drains.clear()
        appliedVersion = 0L
        accept(GateSnapshot.NONE)
    }

    /** Takes up the value under [path], if it is one of the rollout's keys; a null [value] is a deletion. */
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
            accept(if (value == null) GateSnapshot.NONE else GateSnapshot(RolloutRecord.parse(value), version))
        } catch (e: MalformedException) {
            val reason = "${Keys.ROLLOUT} cannot be read: ${e.message}"
            admission = Admission.RecordUnreadable(reason)
            log.error("{}; nothing is written until it can be", reason)
        }
    }

    private fun accept(snapshot: GateSnapshot) {
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
     * What a decision about gates is made from; [shards] are the shards' owners, and [externallyFinalized] features
     * with records of their own.
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
        /** The field of a membership key in which earlier versions name theirs. */
        const val LEGACY_VERSION = "format"
    }
}

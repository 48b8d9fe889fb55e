package io.reedmast.ownership

import io.reedmast.rollout.ClusterRecords
import io.reedmast.rollout.Feature
import io.reedmast.rollout.FeatureName
import io.reedmast.rollout.FeatureRegistry
import io.reedmast.rollout.FormatVersion
import io.reedmast.rollout.MigrationScope
import io.reedmast.rollout.RecordMigration
import io.reedmast.rollout.SliceOwnership
import io.reedmast.rollout.VersionRange
import io.reedmast.state.Item
import io.reedmast.state.Keys
import io.reedmast.wire.Fields
import io.reedmast.wire.count

/** The features of this version, and the versions of the stored forms that it reads and writes. */
object ClusterFeatures {
    /** Records are divided to fit lowered limits. Its gate is `c/format`, from before there was a record of the rollout. */
    val DIVIDED_RECORDS = FeatureName("divided-records")

    /** The token counter has a form that versions before the rollout record cannot read, so that they can take no slice. */
    val FENCED_TOKENS = FeatureName("fenced-tokens")

    private val OLDEST = FormatVersion.NONE
    private val WITH_DIVIDED_RECORDS = FormatVersion(1)
    private val WITH_ROLLOUT = FormatVersion(2)

    val dividedRecords = Feature(DIVIDED_RECORDS, WITH_DIVIDED_RECORDS, revertible = false)
    val fencedTokens = Feature(FENCED_TOKENS, WITH_ROLLOUT, setOf(DIVIDED_RECORDS), migration = TokenFence)

    val registry = FeatureRegistry(listOf(dividedRecords, fencedTokens), VersionRange(OLDEST, WITH_ROLLOUT))
}

/**
 * The two forms of the token counter.
 *
 * Versions before the rollout record take a slice without looking at any gate. They find no `token` in the fenced form, so their condition
 * on the counter's version never holds, and they come by no term under which they could write.
 */
object TokenFence : RecordMigration {
    private const val OPEN = "token"
    private const val FENCED = "fencedToken"
    override val scope = MigrationScope.CLUSTER

    override fun prefix(slice: Int): String = Keys.TOKEN

    override fun forward(record: Fields): Fields = if (FENCED in record) record else mapOf(FENCED to record.count(OPEN))

    override fun back(record: Fields): Fields = if (FENCED in record) mapOf(OPEN to record.count(FENCED)) else record.also { it.count(OPEN) }

    /** The counter's value in either form. */
    fun tokenOf(record: Fields): Long = record.count(if (FENCED in record) FENCED else OPEN)

    fun toFields(token: Long, fenced: Boolean): Fields = mapOf((if (fenced) FENCED else OPEN) to token)
}

/** The cluster's records as the rollout's administration needs them. */
class StoredClusterRecords(private val slices: Int) : ClusterRecords {
    override fun sliceOwners(items: List<Item>): List<SliceOwnership?> {
        val byPath = items.associateBy { it.path }
        return (0 until slices).map { index -> byPath[Keys.slice(index)]?.let { SliceOwnership(SliceRecord.parse(it.value).owner, it.version) } }
    }

    override fun externallyFinalized(items: List<Item>): Set<FeatureName> {
        val reached = items.firstOrNull { it.path == Keys.FORMAT }?.let { FormatGate.isReached(it.value) } ?: false
        return if (reached) setOf(ClusterFeatures.DIVIDED_RECORDS) else emptySet()
    }
}

package io.reedmast.ownership

import io.reedmast.jobs.DensePages
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.StoredItem
import io.reedmast.kvstore.Write
import io.reedmast.rollout.ClusterRecords
import io.reedmast.rollout.Feature
import io.reedmast.rollout.FeatureName
import io.reedmast.rollout.FeatureRegistry
import io.reedmast.rollout.FormatVersion
import io.reedmast.rollout.GateSnapshot
import io.reedmast.rollout.MigrationScope
import io.reedmast.rollout.RecordMigration
import io.reedmast.rollout.ShardOwnership
import io.reedmast.rollout.VersionRange
import io.reedmast.wire.Fields
import io.reedmast.wire.count

/** The features of this version, and the versions of the stored forms that it reads and writes. */
object ClusterFeatures {
    /** Records are divided to fit reduced limits. Its gate is `c/format`, from before there was a record of the rollout. */
    val DIVIDED_RECORDS = FeatureName("divided-records")

    /** The token counter has a form that versions before the rollout record cannot read, so that they can take no shard. */
    val FENCED_TOKENS = FeatureName("fenced-tokens")

    private val OLDEST = FormatVersion.NONE
    private val WITH_DIVIDED_RECORDS = FormatVersion(1)
    private val WITH_ROLLOUT = FormatVersion(2)
    private val WITH_DENSE_PAGES = FormatVersion(3)

    val dividedRecords = Feature(DIVIDED_RECORDS, WITH_DIVIDED_RECORDS, revertible = false)
    val fencedTokens = Feature(FENCED_TOKENS, WITH_ROLLOUT, setOf(DIVIDED_RECORDS), migration = TokenCounter)
    val densePages = Feature(DensePages.FEATURE, WITH_DENSE_PAGES, setOf(FENCED_TOKENS), migration = DensePages)

    val registry = FeatureRegistry(listOf(dividedRecords, fencedTokens, densePages), VersionRange(OLDEST, WITH_DENSE_PAGES))
}

/**
 * The two forms of the token counter.
 *
 * Versions before the rollout record take a shard without looking at any gate. They find no `token` in the fenced form, so their condition
 * on the counter's version never holds, and they come by no term under which they could write.
 */
object TokenCounter : RecordMigration {
    private const val OPEN = "token"
    private const val FENCED = "fencedToken"
    override val scope = MigrationScope.CLUSTER

    override fun prefix(shard: Int): String = Keys.TOKEN

    override fun forward(record: Fields): Fields = if (FENCED in record) record else mapOf(FENCED to record.count(OPEN))

    override fun back(record: Fields): Fields = if (FENCED in record) mapOf(OPEN to record.count(FENCED)) else record.also { it.count(OPEN) }

    /** The counter's value in either form. */
    fun tokenOf(record: Fields): Long = record.count(if (FENCED in record) FENCED else OPEN)

    /** Moves the counter from its version [seen] to [token], in the form that [gates] want and on condition that they have not moved. */
    fun moveTo(token: Long, seen: Long, gates: GateSnapshot): CounterUpdate {
        val field = if (gates.writes(ClusterFeatures.FENCED_TOKENS)) FENCED else OPEN
        return CounterUpdate(listOf(Precondition(Keys.TOKEN, seen), gates.precondition), Write.Put(Keys.TOKEN, mapOf(field to token)))
    }
}

/** A write of the token counter, and the conditions without which it must not be made. */
class CounterUpdate(val preconditions: List<Precondition>, val write: Write.Put)

/** The cluster's records as the rollout's administration needs them. */
class StoredClusterRecords(private val shards: Int) : ClusterRecords {
    override fun shardOwners(items: List<StoredItem>): List<ShardOwnership?> {
        val byPath = items.associateBy { it.path }
        return (0 until shards).map { index -> byPath[Keys.shard(index)]?.let { ShardOwnership(ShardRecord.parse(it.value).owner, it.version) } }
    }

    override fun externallyFinalized(items: List<StoredItem>): Set<FeatureName> {
        val reached = items.firstOrNull { it.path == Keys.FORMAT }?.let { FormatGate.isReached(it.value) } ?: false
        return if (reached) setOf(ClusterFeatures.DIVIDED_RECORDS) else emptySet()
    }
}

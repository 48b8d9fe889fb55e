package io.reedmast.rollout

import io.reedmast.wire.Fields

/** The name of a feature in stored records, in the deploy file and on the command line. */
@JvmInline
value class FeatureName(val value: String) {
    override fun toString(): String = value
}

/** A version of the stored formats; each release that adds a format increments it. */
@JvmInline
value class FormatVersion(val value: Int) : Comparable<FormatVersion> {
    override fun compareTo(other: FormatVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    companion object {
        /** The version of controllers that publish none. */
        val NONE = FormatVersion(0)
    }
}

/** The format versions that a process reads and writes, both ends included. */
data class VersionRange(val oldest: FormatVersion, val newest: FormatVersion) {
    init {
        require(oldest <= newest) { "the oldest version $oldest is above the newest $newest" }
    }

    operator fun contains(version: FormatVersion): Boolean = version in oldest..newest

    override fun toString(): String = "$oldest to $newest"
}

/** Which records a migration changes, which determines the fencing precondition of its writes. */
enum class MigrationScope {
    /** Records of the whole cluster, migrated by the leader under the version of the leader key. */
    CLUSTER,

    /** Records of one shard, migrated by the shard's owner under its term. */
    SHARD,
}

/**
 * Converts the records that a feature changes between their old and their new format.
 *
 * Both functions are pure and throw [io.reedmast.wire.MalformedException] for a record that cannot be read. [backward]
 * is the exact inverse of [forward]; each returns its argument unchanged if it already has the target format. Readers
 * accept both formats at all times.
 */
interface RecordMigration {
    val scope: MigrationScope

    /** The common prefix of the records' keys; [shard] is ignored for [MigrationScope.CLUSTER]. */
    fun prefix(shard: Int): String

    /** Converts [record] to the new format. */
    fun forward(record: Fields): Fields

    /** Converts [record] to the old format. */
    fun backward(record: Fields): Fields
}

/**
 * A change of stored formats that is enabled only after every controller supports it.
 *
 * @property requires the minimum version that reads the feature's stored format
 * @property dependsOn features that must be enabled and migrated before this one
 * @property revertible whether the feature can be reverted after it was enabled and before it is finalized
 * @property migration converts existing records to the new format; null if only new records have it
 */
class Feature(
    val name: FeatureName,
    val requires: FormatVersion,
    val dependsOn: Set<FeatureName> = emptySet(),
    val revertible: Boolean = true,
    val migration: RecordMigration? = null,
)

/**
 * The features that this binary supports. The constructor validates them, because an invalid list is a programming
 * error.
 */
class FeatureRegistry(features: List<Feature>, val range: VersionRange) {
    private val byName: Map<FeatureName, Feature> = features.associateBy { it.name }

    /** All features in dependency order: each one after those that it depends on. */
    val inOrder: List<Feature>

    init {
        require(byName.size == features.size) { "a feature is registered twice" }
        for (feature in features) {
            require(feature.requires <= range.newest) { "$feature requires a version that this binary does not have" }
            feature.dependsOn.forEach { require(it in byName) { "${feature.name} depends on $it, which is unknown" } }
        }
        inOrder = sorted(features)
    }

    operator fun get(name: FeatureName): Feature? = byName[name]

    /** The features that depend on [name] directly. */
    fun dependentsOf(name: FeatureName): List<Feature> = inOrder.filter { name in it.dependsOn }

    private fun sorted(features: List<Feature>): List<Feature> {
        val sorted = LinkedHashSet<Feature>()
        while (sorted.size < features.size) {
            val names = sorted.mapTo(HashSet()) { it.name }
            val next = features.filter { it !in sorted && names.containsAll(it.dependsOn) }
            require(next.isNotEmpty()) {
                "features depend on each other in a cycle: ${(features - sorted).joinToString { it.name.value }}"
            }
            sorted.addAll(next)
        }
        return sorted.toList()
    }
}

package io.reedmast.rollout

import io.reedmast.wire.Fields

/** Names a feature in stored records, in the deploy file and on the command line. */
@JvmInline
value class FeatureName(val value: String) {
    override fun toString(): String = value
}

/** A version of the stored forms; it grows by one with each release that adds a form. */
@JvmInline
value class FormatVersion(val value: Int) : Comparable<FormatVersion> {
    override fun compareTo(other: FormatVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    companion object {
        /** Controllers that name no version at all. */
        val NONE = FormatVersion(0)
    }
}

/** The versions of the stored forms that a process reads and writes, both ends included. */
data class VersionRange(val oldest: FormatVersion, val newest: FormatVersion) {
    init {
        require(oldest <= newest) { "the oldest version $oldest is above the newest $newest" }
    }

    operator fun contains(version: FormatVersion): Boolean = version in oldest..newest

    override fun toString(): String = "$oldest to $newest"
}

/** Whose records a migration changes, and so under whose fencing condition it writes. */
enum class MigrationScope {
    /** Records of the whole cluster: the leader migrates them, under the version of its key. */
    CLUSTER,

    /** Records of one shard: the shard's owner migrates them, under its term. */
    SHARD,
}

/**
 * The steps between the old and the new form of the records that a feature changes.
 *
 * Both steps are pure and throw [io.reedmast.wire.MalformedException] for a record that cannot be read. [back] undoes
 * [forward] exactly, and either returns its argument unchanged if that already has the wanted form. Readers accept both
 * forms at all times.
 */
interface RecordMigration {
    val scope: MigrationScope

    /** The common beginning of the keys of the records; [shard] is ignored for [MigrationScope.CLUSTER]. */
    fun prefix(shard: Int): String

    /** The new form of [record]. */
    fun forward(record: Fields): Fields

    /** The old form of [record]. */
    fun backward(record: Fields): Fields
}

/**
 * Something that changes stored forms and is switched on only after every controller understands it.
 *
 * @property requires the least version that reads the feature's stored form
 * @property dependsOn features that must be enabled, and migrated, before this one
 * @property revertible whether an enabled feature can be taken back before it is finalized
 * @property migration how existing records are brought to the new form; null if only new records have it
 */
class Feature(
    val name: FeatureName,
    val requires: FormatVersion,
    val dependsOn: Set<FeatureName> = emptySet(),
    val revertible: Boolean = true,
    val migration: RecordMigration? = null,
)

/**
 * The features that are known to this binary. They are checked when the registry is made: a mistake is one of the
 * program.
 */
class FeatureRegistry(features: List<Feature>, val range: VersionRange) {
    private val byName: Map<FeatureName, Feature> = features.associateBy { it.name }

    /** All features, each one after those that it depends on. */
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

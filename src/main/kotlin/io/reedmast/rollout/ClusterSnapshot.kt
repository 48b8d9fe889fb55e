package io.reedmast.rollout

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import io.reedmast.wire.asFields
import io.reedmast.wire.count
import io.reedmast.wire.optionalCount

/**
 * What a controller publishes of itself in its membership key.
 *
 * @property desired what its deploy file wishes of each feature
 * @property incarnation the process, for acts that concern one process only; null in keys of earlier versions
 * @property drained whether it has given all its shards up, and takes none
 */
data class MemberVersions(
    val range: VersionRange,
    val desired: Map<FeatureName, Target>,
    val incarnation: String?,
    val drained: Boolean,
) {
    fun toFields(): Fields = buildMap {
        put(OLDEST, range.oldest.value.toLong())
        put(NEWEST, range.newest.value.toLong())
        if (desired.isNotEmpty()) put(DESIRED, desired.entries.associate { it.key.value to it.value.storedName })
        if (incarnation != null) put(INCARNATION, incarnation)
        if (drained) put(DRAINED, true)
    }

    companion object {
        private const val OLDEST = "oldest"
        private const val NEWEST = "newest"
        private const val DESIRED = "desired"
        private const val INCARNATION = "incarnation"
        private const val DRAINED = "drained"

        /** [legacyVersion] is the one that the key names in the form of earlier versions, which had no range. */
        fun parse(fields: Fields, legacyVersion: FormatVersion): MemberVersions {
            val newest =
                fields.optionalCount(NEWEST)
                    ?: return MemberVersions(VersionRange(FormatVersion.NONE, legacyVersion), emptyMap(), null, false)
            val oldest = fields.count(OLDEST)
            if (oldest > newest) throw MalformedException("oldest is above newest")
            val desired = fields[DESIRED]?.let { asFields(it) }.orEmpty()
            return MemberVersions(
                VersionRange(FormatVersion(oldest.toInt()), FormatVersion(newest.toInt())),
                desired.entries.associate {
                    FeatureName(it.key) to
                        Target.of(it.value as? String ?: throw MalformedException("desired names no target"))
                },
                fields[INCARNATION] as? String,
                fields[DRAINED] == true,
            )
        }
    }
}

/** A membership key that is there now. */
data class PresentMember(val versions: MemberVersions, val keyVersion: Long)

/** The owner of a shard as last stored. */
data class ShardOwnership(val owner: String, val version: Long)

/** The part of the records that one migration runs over by itself: those of the whole cluster, or of one shard. */
sealed interface MigrationUnit {
    val key: String

    data object Cluster : MigrationUnit {
        override val key = "cluster"
    }

    data class Shard(val index: Int) : MigrationUnit {
        override val key get() = index.toString()
    }
}

/** What is known of the cluster when a decision about gates is made; all of it read from the store. */
class ClusterSnapshot(
    val configured: Set<String>,
    val present: Map<String, PresentMember>,
    /** By shard; null for one that nobody has taken yet. */
    val shards: List<ShardOwnership?>,
    val progress: Map<Pair<FeatureName, MigrationUnit>, MigrationProgress>,
    /**
     * Features that are known to be finalized by records of their own, from before there was a record of the rollout.
     */
    val externallyFinalized: Set<FeatureName> = emptySet(),
) {
    fun stateOf(feature: FeatureName, record: RolloutRecord): GateState = if (feature in
        externallyFinalized
    ) {
        GateState.FINALIZED
    } else {
        record.stateOf(feature)
    }

    /** Whether the records of all units have gone the way that the gate of [feature] has them go. */
    fun isMigrated(feature: Feature, record: RolloutRecord): Boolean {
        if (feature.name in externallyFinalized) return true
        val gate = record.gates[feature.name] ?: return false
        val direction = Direction.of(gate.state) ?: return false
        return unitsOf(feature).all { unit ->
            val known = progress[feature.name to unit]
            known != null && known.complete && known.direction == direction && known.generation == gate.generation
        }
    }

    /** How many records of [feature] could not be migrated, by what is stored of its present migration. */
    fun blockedRecords(feature: Feature, record: RolloutRecord): Long = unitsOf(feature).sumOf { unit ->
        val known = progress[feature.name to unit]?.takeIf { it.generation == record.gates[feature.name]?.generation }
        if (known == null) 0L else known.unreadable + known.oversized
    }

    /** The controllers that count: all that are configured, but for those that an operator has excluded. */
    fun counted(record: RolloutRecord): Set<String> = configured - record.excluded.keys

    /**
     * Conditions that every counted controller is still the process that was seen, and every shard still has the owner
     * that was seen.
     */
    fun preconditions(record: RolloutRecord): List<Precondition> =
        memberPreconditions(counted(record)) + shardPreconditions()

    /** Conditions that [label] has the membership key that was seen, or none, and that no shard has changed hands. */
    fun preconditionsOf(label: String): List<Precondition> = memberPreconditions(setOf(label)) + shardPreconditions()

    private fun memberPreconditions(labels: Set<String>) = labels.map {
        Precondition(
            Keys.member(it),
            present[it]?.keyVersion ?: 0L,
        )
    }

    private fun shardPreconditions() = shards.mapIndexed { index, shard ->
        Precondition(
            Keys.shard(index),
            shard?.version ?: 0L,
        )
    }

    /** The units that a migration of [feature] consists of. */
    fun unitsOf(feature: Feature): List<MigrationUnit> = when (feature.migration?.scope) {
        null -> emptyList()
        MigrationScope.CLUSTER -> listOf(MigrationUnit.Cluster)
        MigrationScope.SHARD -> shards.indices.map { MigrationUnit.Shard(it) }
    }
}

package io.reedmast.rollout

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition

/** What is known of the cluster when a decision about gates is made; all of it read from the store. */
class ClusterSnapshot(
    val configured: Set<String>,
    val present: Map<String, PresentMember>,
    /** By shard; null for one that nobody has acquired yet. */
    val shards: List<ShardOwnership?>,
    val progress: Map<Pair<FeatureName, MigrationUnit>, MigrationProgress>,
    /**
     * Features that are known to be finalized by records of their own, from before there was a record of the rollout.
     */
    val externallyFinalized: Set<FeatureName> = emptySet(),
) {
    /** The state of the gate of [feature], which records of its own may have finalized. */
    fun stateOf(feature: FeatureName, record: RolloutRecord): GateState =
        if (feature in externallyFinalized) GateState.FINALIZED else record.stateOf(feature)

    /** Whether the records of all units have gone the way that the gate of [feature] has them go. */
    fun isMigrated(feature: Feature, record: RolloutRecord): Boolean {
        if (feature.name in externallyFinalized) return true
        val gate = record.gates[feature.name] ?: return false
        val direction = Direction.of(gate.state) ?: return false
        return unitsOf(feature).all { unit ->
            val unitProgress = progress[feature.name to unit]
            unitProgress != null &&
                unitProgress.complete &&
                unitProgress.direction == direction &&
                unitProgress.generation == gate.generation
        }
    }

    /** How many records of [feature] could not be migrated, by what is stored of its present migration. */
    fun blockedRecords(feature: Feature, record: RolloutRecord): Long = unitsOf(feature).sumOf { unit ->
        val unitProgress =
            progress[feature.name to unit]?.takeIf { it.generation == record.gates[feature.name]?.generation }
        if (unitProgress == null) 0L else unitProgress.unreadable + unitProgress.oversized
    }

    /** The controllers that count: all that are configured, but for those that an operator has excluded. */
    fun participants(record: RolloutRecord): Set<String> = configured - record.excluded.keys

    /**
     * Conditions that every counted controller is still the process that was seen, and every shard still has the owner
     * that was seen.
     */
    fun preconditions(record: RolloutRecord): List<Precondition> =
        memberPreconditions(participants(record)) + shardPreconditions()

    /** Conditions that [label] has the membership key that was seen, or none, and that no shard has changed hands. */
    fun preconditionsOf(label: String): List<Precondition> = memberPreconditions(setOf(label)) + shardPreconditions()

    private fun memberPreconditions(labels: Set<String>) = labels.map { label ->
        Precondition(Keys.member(label), present[label]?.keyVersion ?: 0L)
    }

    private fun shardPreconditions() = shards.mapIndexed { index, shard ->
        Precondition(Keys.shard(index), shard?.version ?: 0L)
    }

    /** The units that a migration of [feature] consists of. */
    fun unitsOf(feature: Feature): List<MigrationUnit> = when (feature.migration?.scope) {
        null -> emptyList()
        MigrationScope.CLUSTER -> listOf(MigrationUnit.Cluster)
        MigrationScope.SHARD -> shards.indices.map { MigrationUnit.Shard(it) }
    }
}

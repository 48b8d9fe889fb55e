package io.reedmast.rollout

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition

/** The state of the cluster on which a decision about gates is based, all of it read from the store. */
class ClusterSnapshot(
    val configured: Set<String>,
    val present: Map<String, PresentMember>,
    /** Owners by shard index; null for a shard that has not been acquired yet. */
    val shards: List<ShardOwnership?>,
    val progress: Map<Pair<FeatureName, MigrationUnit>, MigrationProgress>,
    /**
     * Features known to be finalized from separate records, which date from before the rollout record existed.
     */
    val externallyFinalized: Set<FeatureName> = emptySet(),
) {
    /** The state of the gate of [feature]; a separate record may have finalized it. */
    fun stateOf(feature: FeatureName, record: RolloutRecord): GateState =
        if (feature in externallyFinalized) GateState.FINALIZED else record.stateOf(feature)

    /** Whether the records of all units have been migrated in the direction that the gate of [feature] requires. */
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

    /**
     * How many records of [feature] could not be migrated, according to the stored progress of all units. Progress made
     * under an earlier generation of the feature's gate does not count.
     */
    fun blockedRecords(feature: Feature, record: RolloutRecord): Long = unitsOf(feature).sumOf { unit ->
        val unitProgress =
            progress[feature.name to unit]?.takeIf { it.generation == record.gates[feature.name]?.generation }
        if (unitProgress == null) 0L else unitProgress.unreadable + unitProgress.oversized
    }

    /** The participating controllers: all configured ones except those that an operator has excluded. */
    fun participants(record: RolloutRecord): Set<String> = configured - record.exclusions.keys

    /**
     * Preconditions that every participating controller still runs as the process in this snapshot, and every shard
     * still has the owner in this snapshot.
     */
    fun preconditions(record: RolloutRecord): List<Precondition> =
        memberPreconditions(participants(record)) + shardPreconditions()

    /**
     * Preconditions that the membership key of [label] is as in this snapshot, be it absent, and that no shard has
     * changed its owner.
     */
    fun preconditionsOf(label: String): List<Precondition> = memberPreconditions(setOf(label)) + shardPreconditions()

    private fun memberPreconditions(labels: Set<String>) = labels.map { label ->
        Precondition(Keys.member(label), present[label]?.keyVersion ?: 0L)
    }

    private fun shardPreconditions() = shards.mapIndexed { index, shard ->
        Precondition(Keys.shard(index), shard?.version ?: 0L)
    }

    /** The units into which a migration of [feature] is divided. */
    fun unitsOf(feature: Feature): List<MigrationUnit> = when (feature.migration?.scope) {
        null -> emptyList()
        MigrationScope.CLUSTER -> listOf(MigrationUnit.Cluster)
        MigrationScope.SHARD -> shards.indices.map { MigrationUnit.Shard(it) }
    }
}

package io.reedmast.rollout

/** A set of records that is migrated independently: those of the whole cluster, or of one shard. */
sealed interface MigrationUnit {
    /** Identifies the unit in the keys of stored progress. */
    val key: String

    /** The records of the whole cluster. */
    data object Cluster : MigrationUnit {
        override val key = "cluster"
    }

    /** The records of the shard with this index. */
    data class Shard(val index: Int) : MigrationUnit {
        override val key get() = index.toString()
    }
}

package io.reedmast.kvstore

/** Where things are kept in the store. */
object Keys {
    /** Shards, controllers, leader and token counter: few keys, watched by every controller. */
    const val CLUSTER = "c/"
    const val LEADER = "c/leader"
    const val TOKEN = "c/token"

    /** The format that every controller reads. */
    const val FORMAT = "c/format"
    const val MEMBERS = "c/node/"

    /** Which features have been rolled out, and what operators wish of them. */
    const val ROLLOUT = "c/rollout"

    /** How far migrations of records have come. */
    const val MIGRATIONS = "c/migration/"

    /** Controllers that are to give their shards up before they are stopped. */
    const val DRAINS = "c/drain/"
    const val SHARDS = "c/slice/"
    const val MACHINES = "c/hosts/"

    /** Jobs, unfinished and ended: watched by every controller. */
    const val JOBS = "j/"
    const val LIVE = "j/live/"
    const val ENDS = "j/end/"
    const val TOTALS = "totals/"

    fun shard(index: Int) = "$SHARDS$index"

    fun machineNames(shard: Int, part: Int) = "$MACHINES$shard/$part"

    fun member(label: String) = "$MEMBERS$label"

    fun migration(feature: String, unit: String) = "$MIGRATIONS$feature/$unit"

    fun drain(label: String) = "$DRAINS$label"

    fun live(shard: Int, jobId: String) = "$LIVE$shard/$jobId"

    fun end(jobId: String) = "$ENDS$jobId"

    fun pagesOf(shard: Int) = "page/$shard/"

    fun page(shard: Int, index: Int) = "page/$shard/$index"

    fun totals(shard: Int) = "$TOTALS$shard"
}

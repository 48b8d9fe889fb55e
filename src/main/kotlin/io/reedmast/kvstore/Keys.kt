package io.reedmast.kvstore

/** The keys, and prefixes of keys, of the records in the store. They are part of the record format and never change. */
object Keys {
    /** Shards, controllers, leader and token counter: few keys, watched by every controller. */
    const val CLUSTER = "c/"

    /** The controller that is the leader. */
    const val LEADER = "c/leader"

    /** The counter from which fencing tokens are allocated. */
    const val TOKEN_COUNTER = "c/token"

    /** The record format that every controller reads. */
    const val FORMAT = "c/format"

    /** The controllers that are alive, each with its label in the key and under its own lease. */
    const val MEMBERS = "c/node/"

    /** Which features have been rolled out, and what operators have requested for them. */
    const val ROLLOUT = "c/rollout"

    /** The progress of record migrations. */
    const val MIGRATIONS = "c/migration/"

    /** Requests that controllers release their shards before they are stopped. */
    const val DRAINS = "c/drain/"

    /** Owner and fencing token of each shard. */
    const val SHARDS = "c/slice/"

    /** The names of each shard's machines, in one or several parts. */
    const val MACHINES = "c/hosts/"

    /** Jobs, unfinished and ended: watched by every controller. */
    const val JOBS = "j/"

    /** Unfinished jobs, by shard. */
    const val LIVE_JOBS = "j/live/"

    /** Ended jobs. */
    const val ENDED_JOBS = "j/end/"

    /** Usage summaries of the shards. */
    const val USAGE_SUMMARIES = "totals/"

    private const val PAGES = "page/"

    /** Owner and fencing token of a shard. */
    fun shard(index: Int) = "$SHARDS$index"

    /** One part of the names of a shard's machines. */
    fun machineList(shard: Int, part: Int) = "$MACHINES$shard/$part"

    /** The controller with this label. */
    fun member(label: String) = "$MEMBERS$label"

    /** The progress of a feature's migration in one unit, such as a shard. */
    fun migration(feature: String, unit: String) = "$MIGRATIONS$feature/$unit"

    /** The request that the controller with this label releases its shards. */
    fun drain(label: String) = "$DRAINS$label"

    /** An unfinished job of a shard. */
    fun liveJob(shard: Int, jobId: String) = "$LIVE_JOBS$shard/$jobId"

    /** An ended job. */
    fun endedJob(jobId: String) = "$ENDED_JOBS$jobId"

    /** The prefix of all progress pages of a shard. */
    fun pagesOf(shard: Int) = "$PAGES$shard/"

    /** One progress page of a shard. */
    fun page(shard: Int, index: Int) = "${pagesOf(shard)}$index"

    /** The usage summary of a shard. */
    fun usageSummary(shard: Int) = "$USAGE_SUMMARIES$shard"
}

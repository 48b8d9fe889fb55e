package io.reedmast.kvstore

import io.reedmast.wire.Fields
import io.reedmast.wire.StoreMessages
import io.reedmast.wire.Tree

/** The condition that a key still has this version; 0: that it does not exist. */
data class Precondition(val path: String, val version: Long)

sealed interface Write {
    val path: String

    data class Put(override val path: String, val value: Fields, val lease: Long? = null) : Write {
        /** What the store counts the value by, with the id of its transaction. */
        fun storedSize(transactionId: String): Int = Tree.jsonSize(StoreMessages.stored(value, transactionId))
    }

    data class Delete(override val path: String) : Write
}

sealed interface CommitOutcome {
    /** Applied; [revision] is the new version of everything written. */
    data class Applied(val revision: Long) : CommitOutcome

    /** Not applied and never will be: these keys had moved on. */
    data class Conflict(val failed: Set<String>) : CommitOutcome

    /** The store finds the change itself impossible. */
    data class Refused(val reason: String) : CommitOutcome
}

/** What goes first when the store takes fewer changes than there are. */
enum class WritePriority {
    /** A user waits for it: an acceptance, a cancellation. It takes turns with prompt changes. */
    USER,

    /** Work waits for it: a placement, the end of a job, machines. */
    URGENT,

    /** It only saves repeated work, or clears away. */
    DEFERRED,
}

/**
 * Writes that are applied together or not at all.
 *
 * Every key written must be guarded by its own version: a transaction that got no answer may be applied minutes later,
 * and it must then find that its keys have moved on.
 */
class CasTransaction(
    val preconditions: List<Precondition>,
    val writes: List<Write>,
    val writePriority: WritePriority = WritePriority.URGENT,
    val done: (CommitOutcome) -> Unit,
) {
    init {
        val covered = preconditions.mapTo(HashSet()) { it.path }
        require(writes.all { it.path in covered }) { "a key is written without its own guard" }
    }
}

data class StoredItem(val path: String, val value: Fields, val version: Long) {
    /** The transaction that stored it; null if that cannot be told. */
    val transactionId: String? get() = StoreMessages.transactionId(value)
}

sealed interface ReadResult {
    data class Found(val item: StoredItem) : ReadResult

    data object Missing : ReadResult

    /** Nothing is known: the store did not answer, or would not. */
    data object Failed : ReadResult
}

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

package io.reedmast.model

/** Whether the records of other shards also contain a machine, and which shard's owner then answers its worker. */
enum class RecordConflict {
    /** Only the records of this shard contain it. */
    NONE,

    /** Others contain it too; the owner of this shard answers its worker, as this shard has the lowest number. */
    ANSWERED_HERE,

    /** Others contain it too; the owner of another shard answers its worker. */
    ANSWERED_ELSEWHERE,
}

package io.reedmast.model

/** Whether the records of other shards name a machine too, and who answers its worker then. */
enum class RecordConflict {
    /** The records of this shard alone name it. */
    NONE,

    /** Others name it too; the owner of this shard answers its worker, since this shard has the lowest number. */
    ANSWERED_HERE,

    /** Others name it too, and the owner of another shard answers its worker. */
    ANSWERED_ELSEWHERE,
}

package io.reedmast.jobs

import io.reedmast.settings.ShardId

/** An unfinished job as every controller knows it. */
class LiveJob(val shard: ShardId, val record: LiveRecord, val version: Long) {
    /** Counts for display, as the shard's owner last told. */
    var done = 0
    var running = 0
}

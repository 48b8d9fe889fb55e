package io.reedmast.jobs

import io.reedmast.settings.ShardId

/**
 * An unfinished job as known to every controller.
 *
 * @property version the version of [record] in the store.
 */
class LiveJob(val shard: ShardId, val record: LiveRecord, val version: Long) {
    /** Counts of tasks for display, as the shard's owner last published them. */
    var done = 0
    var running = 0
}

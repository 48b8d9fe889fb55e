package io.reedmast.jobs

import com.github.benmanes.caffeine.cache.Caffeine
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.StoredItem
import io.reedmast.kvstore.UnreadableRecordLog
import io.reedmast.kvstore.WatchEvent
import io.reedmast.ports.Cancellation
import io.reedmast.ports.JobProgress
import io.reedmast.settings.Settings
import io.reedmast.settings.ShardId
import io.reedmast.wire.Fields
import io.reedmast.wire.JobSpec
import io.reedmast.wire.JobState
import io.reedmast.wire.MalformedException
import io.reedmast.wire.count
import io.reedmast.wire.map
import io.reedmast.wire.optionalFlag

/** An unfinished job as every controller knows it. */
class LiveJob(val shard: ShardId, val record: LiveRecord, val version: Long) {
    /** Counts for display, as the shard's owner last told. */
    var done = 0
    var running = 0
}

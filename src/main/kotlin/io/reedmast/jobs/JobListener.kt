package io.reedmast.jobs

import io.reedmast.settings.ShardId

/** Whoever acts on the unfinished jobs of one shard. */
interface JobListener {
    /** The shard. */
    val index: ShardId

    /** A job of the shard is new, or its user has cancelled it. */
    fun onJobChanged(live: LiveJob)

    /** The record of an unfinished job of the shard is gone. */
    fun onJobGone(jobId: String)
}

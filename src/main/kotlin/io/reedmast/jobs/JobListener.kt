package io.reedmast.jobs

import io.reedmast.settings.ShardId

/** Receives the changes to the unfinished jobs of one shard. */
interface JobListener {
    /** The shard whose jobs are reported. */
    val index: ShardId

    /** A job of the shard is new, or its user has cancelled it. */
    fun onJobChanged(live: LiveJob)

    /** The record of an unfinished job of the shard was removed. */
    fun onJobGone(jobId: String)
}

package io.reedmast.app

import io.reedmast.cluster.WatchResultHandler
import io.reedmast.kvstore.StoredItem
import io.reedmast.kvstore.WatchEvent

/** Hands what the watches on the store deliver, on threads of their own, to the deciding thread. */
class WatchSink internal constructor(
    private val eventLoop: EventLoop,
    private val watchResults: WatchResultHandler,
    private val onJobsObserved: () -> Unit,
) {
    /**
     * All of the cluster's keys, as read at [revision] by a request made at [askedAt] in milliseconds of steady time.
     */
    fun clusterSnapshot(items: List<StoredItem>, revision: Long, askedAt: Long) = eventLoop.post {
        watchResults.onClusterSnapshot(items, revision, askedAt)
    }

    /** Changes of the cluster's keys up to [revision], by a request made at [askedAt]. */
    fun clusterEvents(events: List<WatchEvent>, revision: Long, askedAt: Long) = eventLoop.post {
        watchResults.onClusterEvents(events, revision, askedAt)
    }

    /** All live jobs, as read at [revision] by a request made at [askedAt]. */
    fun jobsSnapshot(items: List<StoredItem>, revision: Long, askedAt: Long) = eventLoop.post {
        watchResults.onJobsSnapshot(items, revision, askedAt)
    }

    /** Changes of job records up to [revision], by a request made at [askedAt]. */
    fun jobEvents(events: List<WatchEvent>, revision: Long, askedAt: Long) = eventLoop.post {
        watchResults.onJobEvents(events, revision, askedAt)
        onJobsObserved()
    }
}

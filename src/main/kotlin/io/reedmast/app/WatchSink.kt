package io.reedmast.app

import io.reedmast.cluster.WatchResultHandler
import io.reedmast.kvstore.StoredItem
import io.reedmast.kvstore.WatchEvent

/** Passes the results of the watches on the store from the watches' threads to the event loop. */
class WatchSink internal constructor(
    private val eventLoop: EventLoop,
    private val watchResults: WatchResultHandler,
    private val onJobsObserved: () -> Unit,
) {
    /** All of the cluster's keys, as read at [revision] by a request sent at [askedAt], in ms of monotonic time. */
    fun clusterSnapshot(items: List<StoredItem>, revision: Long, askedAt: Long) = eventLoop.post {
        watchResults.onClusterSnapshot(items, revision, askedAt)
    }

    /** Changes of the cluster's keys up to [revision], from a watch request sent at [askedAt]. */
    fun clusterEvents(events: List<WatchEvent>, revision: Long, askedAt: Long) = eventLoop.post {
        watchResults.onClusterEvents(events, revision, askedAt)
    }

    /** All unfinished jobs, as read at [revision] by a request sent at [askedAt]. */
    fun jobsSnapshot(items: List<StoredItem>, revision: Long, askedAt: Long) = eventLoop.post {
        watchResults.onJobsSnapshot(items, revision, askedAt)
    }

    /** Changes of job records up to [revision], from a watch request sent at [askedAt]. */
    fun jobEvents(events: List<WatchEvent>, revision: Long, askedAt: Long) = eventLoop.post {
        watchResults.onJobEvents(events, revision, askedAt)
        onJobsObserved()
    }
}

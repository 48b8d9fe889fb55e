package io.reedmast.app

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.ListResult
import io.reedmast.kvstore.StoreClient
import io.reedmast.kvstore.StoredItem
import io.reedmast.kvstore.WatchEvent
import io.reedmast.kvstore.WatchResult
import io.reedmast.ports.Clock
import java.util.concurrent.ThreadLocalRandom

/**
 * The two watches on the store: on the cluster's few keys, and on the records of jobs. Each has its own thread, which
 * runs until the process ends.
 */
class Watches(
    private val client: StoreClient,
    private val clock: Clock,
    private val controllerHandle: ControllerHandle,
) {
    /**
     * Which keys to watch, how often, and where to deliver the results.
     *
     * @property listedPrefix prefix of the keys that are read when the watch begins, and again after a gap
     * @property watchedPrefix prefix of the keys whose changes are then requested
     * @property minIntervalMs minimum time between two requests for changes
     * @property holdMs how long the store may hold a request for changes open while there are none
     */
    private class Watch(
        val listedPrefix: String,
        val watchedPrefix: String,
        val minIntervalMs: Long,
        val holdMs: () -> Int,
        val onSnapshot: (items: List<StoredItem>, revision: Long, askedAt: Long) -> Unit,
        val onEvents: (events: List<WatchEvent>, revision: Long, askedAt: Long) -> Unit,
    )

    private val clusterWatch = Watch(
        Keys.CLUSTER,
        Keys.CLUSTER,
        minIntervalMs = 0L,
        holdMs = { CLUSTER_HOLD_MS },
        controllerHandle.watchSink::clusterSnapshot,
        controllerHandle.watchSink::clusterEvents,
    )

    /**
     * A job lookup waits until the watch has answered a request that was sent after the lookup began, so all lookups
     * that wait by then share one request to the store. While any lookup waits, the watch sends request after request,
     * each to be answered at once. Otherwise the store may hold a request until there is a change, but never so long
     * that the next lookup would time out.
     */
    private val jobsWatch = Watch(
        Keys.LIVE_JOBS,
        Keys.JOBS,
        minIntervalMs = JOBS_INTERVAL_MS,
        holdMs = { if (controllerHandle.hasWaitingLookups()) 0 else JOBS_HOLD_MS },
        controllerHandle.watchSink::jobsSnapshot,
        controllerHandle.watchSink::jobEvents,
    )

    /** Starts the threads of both watches. */
    fun start() {
        startThread("watch-cluster") { run(clusterWatch) }
        startThread("watch-jobs") { run(jobsWatch) }
    }

    private fun run(watch: Watch) {
        while (true) {
            val askedAt = clock.now()
            val listing = client.list(watch.listedPrefix) as? ListResult.Listing
            if (listing == null) {
                pause()
                continue
            }
            watch.onSnapshot(listing.items, listing.revision, askedAt)
            followUntilCompacted(watch, listing.revision, askedAt)
        }
    }

    /**
     * Delivers the changes after [revision]. Returns when the keys must be read again, because the store no longer
     * keeps the requested changes or they are too large to be read.
     */
    private fun followUntilCompacted(watch: Watch, revision: Long, listedAt: Long) {
        var after = revision
        var askedAt = listedAt
        while (true) {
            val remainingMs = askedAt + watch.minIntervalMs - clock.now()
            if (remainingMs > 0) Thread.sleep(remainingMs)
            askedAt = clock.now()
            when (val result = client.watch(watch.watchedPrefix, after, watch.holdMs())) {
                WatchResult.Compacted -> return
                WatchResult.Failed -> pause()
                is WatchResult.Events -> {
                    watch.onEvents(result.events, result.revision, askedAt)
                    after = maxOf(after, result.revision)
                }
            }
        }
    }

    /** Sleeps for a random time, so that controllers that lost the store together do not all retry at once. */
    private fun pause() = Thread.sleep(PAUSE_MS + ThreadLocalRandom.current().nextLong(PAUSE_MS))

    private companion object {
        const val CLUSTER_HOLD_MS = 1_500
        const val JOBS_INTERVAL_MS = 120L
        const val JOBS_HOLD_MS = 800
        const val PAUSE_MS = 200L
    }
}

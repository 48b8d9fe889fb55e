package io.reedmast.app

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.ListResult
import io.reedmast.kvstore.StoreClient
import io.reedmast.kvstore.WatchResult
import io.reedmast.ports.Clock
import java.util.concurrent.ThreadLocalRandom

/** The two watches on the store: on the cluster's few keys, and on the records under job ids. */
class Watches(private val client: StoreClient, private val clock: Clock, private val handle: ControllerHandle) {
    fun start() {
        NetworkGateway.startThread("watch-cluster", ::followCluster)
        NetworkGateway.startThread("watch-jobs", ::followJobs)
    }

    private fun followCluster() {
        while (true) {
            var askedAt = clock.now()
            val listing = client.list(Keys.CLUSTER) as? ListResult.Listing
            if (listing == null) {
                pause()
                continue
            }
            handle.snapshot(listing.items, listing.revision, askedAt)
            var after = listing.revision
            while (true) {
                askedAt = clock.now()
                val watched = client.watch(Keys.CLUSTER, after, HOLD_MS)
                if (watched is WatchResult.Compacted) break
                if (watched is WatchResult.Events) {
                    handle.clusterEvents(watched.events, watched.revision, askedAt)
                    after = maxOf(after, watched.revision)
                } else {
                    pause()
                }
            }
        }
    }

    /**
     * Every question of a user waits for the next answer of the watch on jobs, and all that came before it share one
     * request to the store: while somebody waits, the watch asks again and again. Otherwise it waits for a change, but
     * never so long that the next question would wait for it in vain.
     */
    private fun followJobs() {
        while (true) {
            var askedAt = clock.now()
            val listing = client.list(Keys.LIVE) as? ListResult.Listing
            if (listing == null) {
                pause()
                continue
            }
            handle.jobsSnapshot(listing.items, listing.revision, askedAt)
            var after = listing.revision
            while (true) {
                val remainingMs = askedAt + JOBS_EVERY_MS - clock.now()
                if (remainingMs > 0) Thread.sleep(remainingMs)
                askedAt = clock.now()
                val watched = client.watch(Keys.JOBS, after, if (handle.questionsWait()) 0 else JOBS_HOLD_MS)
                if (watched is WatchResult.Compacted) break
                if (watched is WatchResult.Events) {
                    handle.jobEvents(watched.events, watched.revision, askedAt)
                    after = maxOf(after, watched.revision)
                } else {
                    pause()
                }
            }
        }
    }

    private fun pause() = Thread.sleep(PAUSE_MS + ThreadLocalRandom.current().nextLong(PAUSE_MS))

    private companion object {
        const val HOLD_MS = 1_500
        const val JOBS_EVERY_MS = 120L
        const val JOBS_HOLD_MS = 800
        const val PAUSE_MS = 200L
    }
}

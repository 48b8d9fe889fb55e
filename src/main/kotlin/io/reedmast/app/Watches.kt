package io.reedmast.app

import io.reedmast.state.Keys
import io.reedmast.state.StateClient
import io.reedmast.state.Watched
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ThreadLocalRandom

/** The two watches on the state service: on the cluster's few keys, and on the records under job ids. */
class Watches(private val client: StateClient, private val clock: Clock, private val node: Node) {
    private val firstEpoch = CompletableFuture<Long>()

    fun start() {
        RealOutward.startThread("watch-cluster", ::followCluster)
        RealOutward.startThread("watch-jobs", ::followJobs)
    }

    private fun followCluster() {
        while (true) {
            var askedAt = clock.now()
            val (items, epoch) = client.list(Keys.CLUSTER) ?: (emptyList<Nothing>() to -1L)
            if (epoch < 0) {
                pause()
                continue
            }
            node.snapshot(items, askedAt)
            firstEpoch.complete(epoch)
            var after = epoch
            while (true) {
                askedAt = clock.now()
                val watched = client.follow(Keys.CLUSTER, after, HOLD_MS)
                if (watched is Watched.TooOld) break
                if (watched is Watched.Events) {
                    node.clusterEvents(watched.events, askedAt)
                    after = maxOf(after, watched.epoch)
                } else {
                    pause()
                }
            }
        }
    }

    private fun followJobs() {
        var after = firstEpoch.get()
        while (true) {
            val askedAt = clock.now()
            when (val watched = client.follow(Keys.REFS, after, HOLD_MS)) {
                is Watched.Events -> {
                    node.refEvents(watched.events, askedAt)
                    after = maxOf(after, watched.epoch)
                }

                is Watched.TooOld -> {
                    // Asked before the slices are read again, so that nothing falls between.
                    val epoch = client.list(Keys.CLUSTER)?.second
                    if (epoch == null) {
                        pause()
                    } else {
                        after = epoch
                        node.refsLost()
                    }
                }

                is Watched.Failed -> {
                    pause()
                }
            }
        }
    }

    private fun pause() = Thread.sleep(PAUSE_MS + ThreadLocalRandom.current().nextLong(PAUSE_MS))

    private companion object {
        const val HOLD_MS = 1_500
        const val PAUSE_MS = 200L
    }
}

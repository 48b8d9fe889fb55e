package io.reedmast.sim

import io.reedmast.app.Controller
import io.reedmast.cluster.ClusterFeatures
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.ListResult
import io.reedmast.kvstore.StoredItem
import io.reedmast.ports.Clock
import io.reedmast.ports.PeerMessage
import io.reedmast.rollout.FeatureName
import io.reedmast.rollout.FeatureRegistry
import io.reedmast.rollout.FormatVersion
import io.reedmast.rollout.RolloutOptions
import io.reedmast.rollout.Target
import io.reedmast.rollout.VersionRange
import io.reedmast.wire.Fields
import io.reedmast.wire.UserAnswer

/** One controller of the [World]; [up] and the cuts say what reaches it. */
class SimController(private val world: World, val index: Int) {
    val label = world.settingsOf(index).label
    var up = false
    var partitionedFromStore = false
    var partitionedFromWorkers = false

    /** Nothing passes between this controller and the other controllers. */
    var partitionedFromPeers = false

    /** Sends of the next direct commands arrive this much later, and their answers are lost. */
    var directCallDelayMs = 0L

    /** The next transaction that writes [delayedCommitKey] is applied this much later, whatever has become of the controller. */
    var commitDelayMs = 0L
    var delayedCommitKey = ""

    /** The next transaction that writes a key with this in its name is applied at once, and its answer lost. */
    var loseCommitReplyFor: String? = null
    var processNumber = 0

    /**
     * The process has the version before reduced limits and formats: it knows only the limits of today, names no format
     * of its own and does not see what others name.
     */
    var predatesRollouts = false

    /** The process knows the rollout, and the features up to this version of the stored forms only. */
    var newestVersion = ClusterFeatures.registry.range.newest

    private val incarnationsBeforeRollouts = HashSet<String>()

    /** Whether the process that sent the transaction had the version before formats and rollouts. */
    fun predatedRollouts(transactionId: String): Boolean =
        transactionId.substringBeforeLast('-') in incarnationsBeforeRollouts

    /** The newest stored form that the process reads. */
    val newestReadableVersion: Int get() = if (predatesRollouts) 0 else newestVersion.value

    /** How far its time of day is from the true one. */
    var clockErrorMs = 0L
    private val clock = object : Clock {
        override fun now() = world.now()

        override fun wallTime() = world.wallTime() + clockErrorMs
    }

    /** What its deploy file wishes. */
    var desired: Map<FeatureName, Target> = emptyMap()

    /** Why the process has ended by itself, if it has. */
    var terminationReason: String? = null
    var process: Controller? = null

    /** The watch on jobs answers this much later than it could. */
    var jobWatchDelayMs = 0L
    private var jobsDue = 0L
    private var watchedTo = 0L
    private var jobsWatchedTo = 0L
    private var loaded = false

    /** Until then the process stands still, while its clocks run. */
    private var pausedUntil = 0L
    val isPaused: Boolean get() = world.now() < pausedUntil
    val reachesStore: Boolean get() = !partitionedFromStore && world.store.up

    fun pause(ms: Long) {
        pausedUntil = world.now() + ms
    }

    /** The process does [work] after [ms], or once it goes on if it stands still then. */
    fun later(ms: Long, work: () -> Unit) {
        world.after(ms) { if (isPaused) world.after(pausedUntil - world.now(), work) else work() }
    }

    fun start() {
        up = true
        terminationReason = null
        processNumber++
        pausedUntil = 0L
        loaded = false
        val incarnation = "$label-$processNumber"
        if (predatesRollouts) incarnationsBeforeRollouts.add(incarnation)
        val settings = world.settingsOf(index).let { if (predatesRollouts) it.copy(nextStoreLimits = null) else it }
        val limits = EffectiveLimits(settings.storeLimits, settings.nextStoreLimits)
        val gateway = SimGateway(world, this, processNumber, limits, incarnation)
        process =
            Controller(settings, world.tuning, clock, gateway, limits, incarnation, RolloutOptions(registry(), desired))
        runOnce(processNumber)
        watch(processNumber)
    }

    private fun registry(): FeatureRegistry {
        val known = ClusterFeatures.registry.inOrder.filter { it.requires <= newestVersion }
        return FeatureRegistry(known, VersionRange(FormatVersion.NONE, newestVersion))
    }

    /** The process ends by itself, since it does not fit what has been rolled out. */
    fun terminate(reason: String) {
        terminationReason = reason
        crash()
    }

    fun crash() {
        up = false
        processNumber++
        process = null
    }

    private fun runOnce(of: Int) {
        if (processNumber != of) return
        process?.runOnce()
        recordHealth()
        later(TICK_MS) { runOnce(of) }
    }

    private var recordedHealth = false

    private fun recordHealth() {
        val recorder = world.recorder ?: return
        val healthy = process?.healthy() ?: false
        if (healthy != recordedHealth) recorder.record(world.now(), label, "health", mapOf("healthy" to healthy))
        recordedHealth = healthy
    }

    private fun watch(of: Int) {
        if (processNumber != of) return
        val c = process ?: return
        fun again() = later(WATCH_MS * world.storeSlowdown) { watch(of) }
        if (!reachesStore) {
            again()
        } else if (loaded) {
            follow(c)
            again()
        } else {
            load(of, c, ::again)
        }
    }

    /** Reads all keys, as a process does when it starts and when the changes that it asks for are no longer kept. */
    private fun load(of: Int, c: Controller, done: () -> Unit) {
        val askedAt = world.now()
        list(of, Keys.CLUSTER) { cluster ->
            val jobsAskedAt = world.now()
            list(of, Keys.LIVE_JOBS) { jobs ->
                if (cluster is ListResult.Listing && jobs is ListResult.Listing) {
                    loaded = true
                    watchedTo = cluster.revision
                    jobsWatchedTo = jobs.revision
                    c.cluster.watchResults.onClusterSnapshot(
                        cluster.items.filter { isVisible(it.path) }.map(::asVisible),
                        cluster.revision,
                        askedAt,
                    )
                    c.cluster.watchResults.onJobsSnapshot(jobs.items, jobs.revision, jobsAskedAt)
                }
                done()
            }
        }
    }

    private fun isVisible(path: String) = !predatesRollouts || (path != Keys.FORMAT && path != Keys.ROLLOUT)

    fun asVisible(item: StoredItem): StoredItem = item.copy(value = asVisible(item.path, item.value))

    private fun asVisible(path: String, value: Fields): Fields =
        if (predatesRollouts) asBeforeRollouts(path, value) else value

    private fun follow(c: Controller) {
        val store = world.store
        val news = store.changesSince(watchedTo)
        if (news == null) {
            loaded = false
            return
        }
        watchedTo = store.revision
        val clusterNews = news.filter { it.path.startsWith(Keys.CLUSTER) && isVisible(it.path) }
        c.cluster.watchResults.onClusterEvents(
            clusterNews.map {
                it.copy(value = it.value?.let { value -> asVisible(it.path, value) })
            },
            watchedTo,
            world.now(),
        )
        if (world.now() < jobsDue) return
        val jobNews = store.changesSince(jobsWatchedTo)
        if (jobNews == null) {
            loaded = false
            return
        }
        jobsDue = world.now() + jobWatchDelayMs
        jobsWatchedTo = store.revision
        c.cluster.watchResults.onJobEvents(
            jobNews.filter {
                it.path.startsWith(Keys.JOBS)
            },
            store.revision,
            world.now(),
        )
    }

    /** Reads the keys with [prefix] page by page, each at its own moment; fails if the store is lost meanwhile. */
    fun list(of: Int, prefix: String, done: (ListResult) -> Unit) {
        val items = ArrayList<StoredItem>()
        var revision = -1L
        fun page(after: String?) {
            if (processNumber != of) return
            if (!reachesStore) {
                done(ListResult.Failed)
                return
            }
            val page = world.store.page(prefix, after)
            if (revision < 0) revision = world.store.revision
            items.addAll(page.items)
            world.rolloutRules.checkRead(this, page.items.map { it.path to it.value })
            if (page.more) {
                later(PAGE_MS * world.storeSlowdown) { page(items.last().path) }
            } else {
                done(ListResult.Listing(items, revision))
            }
        }
        page(null)
    }

    fun sendRequest(
        jobId: String,
        question: (Controller, (UserAnswer) -> Unit) -> Unit,
        done: (UserAnswer) -> Unit = {
        },
    ) {
        val asked = processNumber
        val known = jobId in world.rules.answeredStates
        later(0) {
            val c = process?.takeIf { processNumber == asked } ?: return@later
            question(c) {
                world.recorder?.record(world.now(), label, "user $jobId ${it.status} ${it.retryAfterS}", it.toFields())
                world.rules.answered(jobId, it, known)
                done(it)
            }
        }
    }

    fun receive(message: PeerMessage) {
        val receiving = processNumber
        later(PEER_MS) { if (processNumber == receiving) process?.onPeerMessage(message) }
    }

    companion object {
        /** What a version before formats and rollouts writes, and sees, of a record. */
        fun asBeforeRollouts(path: String, value: Fields): Fields = when {
            path.startsWith(Keys.MEMBERS) -> value.filterKeys { it == "label" || it == "txn" }
            path == Keys.TOKEN_COUNTER && "fencedToken" in value -> mapOf("form" to 0L)
            else -> value
        }

        private const val TICK_MS = 50L
        private const val WATCH_MS = 40L
        private const val PAGE_MS = 5L
        private const val PEER_MS = 2L
    }
}

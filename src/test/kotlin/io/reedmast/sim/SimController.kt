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

/** One controller of the [World], with its process and the faults that are injected into it. */
class SimController(private val world: World, val index: Int) {
    val label = world.settingsOf(index).label
    var up = false
    var partitionedFromStore = false
    var partitionedFromWorkers = false

    /** Whether no message passes between this controller and the other controllers. */
    var partitionedFromPeers = false

    /** The next direct call arrives after this delay, and its answer is lost; 0: no delay. */
    var directCallDelayMs = 0L

    /**
     * The next transaction that writes a key containing [delayedCommitKey] is applied after this delay, even if the
     * controller has crashed or is partitioned by then; 0: no delay.
     */
    var commitDelayMs = 0L
    var delayedCommitKey = ""

    /** The next transaction that writes a key containing this text is applied as usual, and its reply is lost. */
    var loseCommitReplyFor: String? = null

    /**
     * Increases when a process starts or crashes. A callback that was scheduled by another process than the current one
     * does nothing.
     */
    var processNumber = 0

    /**
     * The process runs the version from before reduced limits, formats and rollouts: it knows only the current limits,
     * announces no format of its own and does not see the formats that others announce.
     */
    var predatesRollouts = false

    /** The newest version of the stored forms that a process with rollouts knows; it knows no later features. */
    var newestVersion = ClusterFeatures.registry.range.newest

    private val incarnationsBeforeRollouts = HashSet<String>()

    /** Whether the transaction was sent by a process of the version that predates formats and rollouts. */
    fun predatedRollouts(transactionId: String): Boolean =
        transactionId.substringBeforeLast('-') in incarnationsBeforeRollouts

    /** The newest version of the stored forms that the process reads. */
    val newestReadableVersion: Int get() = if (predatesRollouts) 0 else newestVersion.value

    /** The error of its wall clock. */
    var clockErrorMs = 0L
    private val clock = object : Clock {
        override fun now() = world.now()

        override fun wallTime() = world.wallTime() + clockErrorMs
    }

    /** The targets in its deploy file. */
    var desired: Map<FeatureName, Target> = emptyMap()

    /** Whether its process may have handled an event since its shards were last recounted. */
    var hasHandledEvent = false

    /** Why the process has terminated itself; null if it has not. */
    var terminationReason: String? = null
    var process: Controller? = null

    /** The minimum interval between deliveries of job changes to the process; 0: with every poll of the watch. */
    var jobWatchIntervalMs = 0L
    private var nextJobWatchAt = 0L

    /** The same for changes of the cluster's records. */
    var clusterWatchIntervalMs = 0L
    private var nextClusterWatchAt = 0L
    private var watchedRevision = 0L
    private var watchedJobsRevision = 0L
    private var snapshotLoaded = false

    /** The process is paused until then, while its clocks go on. */
    private var pausedUntil = 0L
    val isPaused: Boolean get() = world.now() < pausedUntil
    val reachesStore: Boolean get() = !partitionedFromStore && world.store.up

    fun pause(ms: Long) {
        pausedUntil = world.now() + ms
    }

    /** Runs [work] after [ms], or at the end of the pause if the process is paused then. */
    fun later(ms: Long, work: () -> Unit) {
        val event = {
            hasHandledEvent = true
            work()
        }
        world.after(ms) { if (isPaused) world.after(pausedUntil - world.now(), event) else event() }
    }

    fun start() {
        up = true
        terminationReason = null
        processNumber++
        pausedUntil = 0L
        snapshotLoaded = false
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
        val supported = ClusterFeatures.registry.inOrder.filter { it.requires <= newestVersion }
        return FeatureRegistry(supported, VersionRange(FormatVersion.NONE, newestVersion))
    }

    /** The process terminates itself, since it is not compatible with what has been rolled out. */
    fun terminate(reason: String) {
        terminationReason = reason
        crash()
    }

    fun crash() {
        up = false
        processNumber++
        process = null
    }

    private fun runOnce(ofProcess: Int) {
        if (processNumber != ofProcess) return
        process?.runOnce()
        recordHealth()
        later(RUN_INTERVAL_MS) { runOnce(ofProcess) }
    }

    private var recordedHealth = false

    private fun recordHealth() {
        val recorder = world.recorder ?: return
        val healthy = process?.healthy() ?: false
        if (healthy != recordedHealth) recorder.record(world.now(), label, "health", mapOf("healthy" to healthy))
        recordedHealth = healthy
    }

    private fun watch(ofProcess: Int) {
        if (processNumber != ofProcess) return
        val current = process ?: return
        fun again() = later(WATCH_INTERVAL_MS * world.storeSlowdown) { watch(ofProcess) }
        if (!reachesStore) {
            again()
        } else if (snapshotLoaded) {
            deliverChanges(current)
            again()
        } else {
            load(ofProcess, current, ::again)
        }
    }

    /** Reads all watched keys, as a process does at its start and when the store no longer has the changes it needs. */
    private fun load(ofProcess: Int, current: Controller, done: () -> Unit) {
        val askedAt = world.now()
        list(ofProcess, Keys.CLUSTER) { cluster ->
            val jobsAskedAt = world.now()
            list(ofProcess, Keys.LIVE_JOBS) { jobs ->
                if (cluster is ListResult.Listing && jobs is ListResult.Listing) {
                    snapshotLoaded = true
                    watchedRevision = cluster.revision
                    watchedJobsRevision = jobs.revision
                    current.cluster.watchResults.onClusterSnapshot(
                        cluster.items.filter { isVisible(it.path) }.map(::asVisible),
                        cluster.revision,
                        askedAt,
                    )
                    current.cluster.watchResults.onJobsSnapshot(jobs.items, jobs.revision, jobsAskedAt)
                }
                done()
            }
        }
    }

    private fun isVisible(path: String) = !predatesRollouts || (path != Keys.FORMAT && path != Keys.ROLLOUT)

    fun asVisible(item: StoredItem): StoredItem = item.copy(value = asVisible(item.path, item.value))

    private fun asVisible(path: String, value: Fields): Fields =
        if (predatesRollouts) asBeforeRollouts(path, value) else value

    private fun deliverChanges(current: Controller) {
        if (world.now() >= nextClusterWatchAt) deliverClusterChanges(current)
        if (world.now() >= nextJobWatchAt) deliverJobChanges(current)
    }

    private fun deliverClusterChanges(current: Controller) {
        val store = world.store
        val changes = store.changesSince(watchedRevision)
        if (changes == null) {
            snapshotLoaded = false
            return
        }
        nextClusterWatchAt = world.now() + clusterWatchIntervalMs
        watchedRevision = store.revision
        val clusterChanges = changes.filter { it.path.startsWith(Keys.CLUSTER) && isVisible(it.path) }
        current.cluster.watchResults.onClusterEvents(
            clusterChanges.map {
                it.copy(value = it.value?.let { value -> asVisible(it.path, value) })
            },
            watchedRevision,
            world.now(),
        )
    }

    private fun deliverJobChanges(current: Controller) {
        val store = world.store
        val jobChanges = store.changesSince(watchedJobsRevision)
        if (jobChanges == null) {
            snapshotLoaded = false
            return
        }
        nextJobWatchAt = world.now() + jobWatchIntervalMs
        watchedJobsRevision = store.revision
        current.cluster.watchResults.onJobEvents(
            jobChanges.filter {
                it.path.startsWith(Keys.JOBS)
            },
            store.revision,
            world.now(),
        )
    }

    /** Reads the keys with [prefix] page by page, each page at a later time; fails if the store becomes unreachable. */
    fun list(ofProcess: Int, prefix: String, done: (ListResult) -> Unit) {
        val items = ArrayList<StoredItem>()
        var revision = -1L
        fun page(after: String?) {
            if (processNumber != ofProcess) return
            if (!reachesStore) {
                done(ListResult.Failed)
                return
            }
            val page = world.store.page(prefix, after)
            if (revision < 0) revision = world.store.revision
            items.addAll(page.items)
            world.rolloutRules.checkRead(this, page.items.map { it.path to it.value })
            if (page.more) {
                later(LIST_PAGE_DELAY_MS * world.storeSlowdown) { page(items.last().path) }
            } else {
                done(ListResult.Listing(items, revision))
            }
        }
        page(null)
    }

    fun sendRequest(
        jobId: String,
        request: (Controller, (UserAnswer) -> Unit) -> Unit,
        done: (UserAnswer) -> Unit = {
        },
    ) {
        val ofProcess = processNumber
        val wasAccepted = jobId in world.rules.answeredStates
        later(0) {
            val current = process?.takeIf { processNumber == ofProcess } ?: return@later
            request(current) {
                world.recorder?.record(world.now(), label, "user $jobId ${it.status} ${it.retryAfterS}", it.toFields())
                world.rules.answered(jobId, it, wasAccepted)
                done(it)
            }
        }
    }

    fun receive(message: PeerMessage) {
        val ofProcess = processNumber
        later(PEER_DELAY_MS) { if (processNumber == ofProcess) process?.onPeerMessage(message) }
    }

    companion object {
        /** A record as a version that predates formats and rollouts writes it and sees it. */
        fun asBeforeRollouts(path: String, value: Fields): Fields = when {
            path.startsWith(Keys.MEMBERS) -> value.filterKeys { it == "label" || it == "txn" }
            path == Keys.TOKEN_COUNTER && "fencedToken" in value -> mapOf("form" to 0L)
            else -> value
        }

        private const val RUN_INTERVAL_MS = 50L
        private const val WATCH_INTERVAL_MS = 40L
        private const val LIST_PAGE_DELAY_MS = 5L
        private const val PEER_DELAY_MS = 2L
    }
}

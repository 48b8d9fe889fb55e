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
    var storeCut = false
    var workersCut = false

    /** Nothing passes between this controller and the other controllers. */
    var peersCut = false

    /** Sends of the next direct commands arrive this much later, and their answers are lost. */
    var lateDirectMs = 0L

    /** The next transaction that writes [lateCommitOf] is applied this much later, whatever has become of the controller. */
    var lateCommitMs = 0L
    var lateCommitOf = ""

    /** The next transaction that writes a key with this in its name is applied at once, and its answer lost. */
    var loseAnswerOf: String? = null
    var life = 0

    /**
     * The process has the version before reduced limits and formats: it knows only the limits of today, names no format
     * of its own and does not see what others name.
     */
    var old = false

    /** The process knows the rollout, and the features up to this version of the stored forms only. */
    var newestVersion = ClusterFeatures.registry.range.newest

    private val oldIncarnations = HashSet<String>()

    /** Whether the process that sent the transaction had the version before formats and rollouts. */
    fun wasOld(transactionId: String): Boolean = transactionId.substringBeforeLast('-') in oldIncarnations

    /** The newest stored form that the process reads. */
    val readsUpTo: Int get() = if (old) 0 else newestVersion.value

    /** How far its time of day is from the true one. */
    var clockErrorMs = 0L
    private val clock = object : Clock {
        override fun now() = world.now()

        override fun wallTime() = world.wallTime() + clockErrorMs
    }

    /** What its deploy file wishes. */
    var desired: Map<FeatureName, Target> = emptyMap()

    /** Why the process has ended by itself, if it has. */
    var unfit: String? = null
    var process: Controller? = null

    /** The watch on jobs answers this much later than it could. */
    var jobsLagMs = 0L
    private var jobsDue = 0L
    private var watchedTo = 0L
    private var jobsWatchedTo = 0L
    private var loaded = false

    /** Until then the process stands still, while its clocks run. */
    private var standsStillUntil = 0L
    val standsStill: Boolean get() = world.now() < standsStillUntil
    val reachesStore: Boolean get() = !storeCut && world.store.up

    fun standStill(ms: Long) {
        standsStillUntil = world.now() + ms
    }

    /** The process does [work] after [ms], or once it goes on if it stands still then. */
    fun later(ms: Long, work: () -> Unit) {
        world.after(ms) { if (standsStill) world.after(standsStillUntil - world.now(), work) else work() }
    }

    fun start() {
        up = true
        unfit = null
        life++
        standsStillUntil = 0L
        loaded = false
        val incarnation = "$label-$life"
        if (old) oldIncarnations.add(incarnation)
        val settings = world.settingsOf(index).let { if (old) it.copy(nextStoreLimits = null) else it }
        val limits = EffectiveLimits(settings.storeLimits, settings.nextStoreLimits)
        val gateway = SimGateway(world, this, life, limits, incarnation)
        process =
            Controller(settings, world.tuning, clock, gateway, limits, incarnation, RolloutOptions(registry(), desired))
        runOnce(life)
        watch(life)
    }

    private fun registry(): FeatureRegistry {
        val known = ClusterFeatures.registry.inOrder.filter { it.requires <= newestVersion }
        return FeatureRegistry(known, VersionRange(FormatVersion.NONE, newestVersion))
    }

    /** The process ends by itself, since it does not fit what has been rolled out. */
    fun endUnfit(reason: String) {
        unfit = reason
        crash()
    }

    fun crash() {
        up = false
        life++
        process = null
    }

    private fun runOnce(of: Int) {
        if (life != of) return
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
        if (life != of) return
        val c = process ?: return
        fun again() = later(WATCH_MS * world.storeSlowness) { watch(of) }
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
                        cluster.items.filter { isVisible(it.path) }.map(::visible),
                        cluster.revision,
                        askedAt,
                    )
                    c.cluster.watchResults.onJobsSnapshot(jobs.items, jobs.revision, jobsAskedAt)
                }
                done()
            }
        }
    }

    private fun isVisible(path: String) = !old || (path != Keys.FORMAT && path != Keys.ROLLOUT)

    fun visible(item: StoredItem): StoredItem = item.copy(value = visible(item.path, item.value))

    private fun visible(path: String, value: Fields): Fields = if (old) asBeforeRollouts(path, value) else value

    private fun follow(c: Controller) {
        val store = world.store
        val news = store.since(watchedTo)
        if (news == null) {
            loaded = false
            return
        }
        watchedTo = store.revision
        val clusterNews = news.filter { it.path.startsWith(Keys.CLUSTER) && isVisible(it.path) }
        c.cluster.watchResults.onClusterEvents(
            clusterNews.map {
                it.copy(value = it.value?.let { value -> visible(it.path, value) })
            },
            watchedTo,
            world.now(),
        )
        if (world.now() < jobsDue) return
        val jobNews = store.since(jobsWatchedTo)
        if (jobNews == null) {
            loaded = false
            return
        }
        jobsDue = world.now() + jobsLagMs
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
            if (life != of) return
            if (!reachesStore) {
                done(ListResult.Failed)
                return
            }
            val page = world.store.page(prefix, after)
            if (revision < 0) revision = world.store.revision
            items.addAll(page.items)
            world.rolloutRules.read(this, page.items.map { it.path to it.value })
            if (page.more) {
                later(PAGE_MS * world.storeSlowness) { page(items.last().path) }
            } else {
                done(ListResult.Listing(items, revision))
            }
        }
        page(null)
    }

    fun ask(jobId: String, question: (Controller, (UserAnswer) -> Unit) -> Unit, done: (UserAnswer) -> Unit = {}) {
        val asked = life
        val known = jobId in world.rules.publishedStages
        later(0) {
            val c = process?.takeIf { life == asked } ?: return@later
            question(c) {
                world.recorder?.record(world.now(), label, "user $jobId ${it.status} ${it.retryAfterS}", it.toFields())
                world.rules.answered(jobId, it, known)
                done(it)
            }
        }
    }

    fun receive(message: PeerMessage) {
        val receiving = life
        later(PEER_MS) { if (life == receiving) process?.onPeerMessage(message) }
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

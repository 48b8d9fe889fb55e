package io.reedmast.app

import io.reedmast.fleet.Leader
import io.reedmast.jobs.JobRequests
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.StoredItem
import io.reedmast.kvstore.WatchEvent
import io.reedmast.ownership.Cluster
import io.reedmast.ownership.ClusterFeatures
import io.reedmast.ownership.Token
import io.reedmast.peers.PeerMessage
import io.reedmast.ports.Clock
import io.reedmast.ports.Gateway
import io.reedmast.rollout.RolloutOptions
import io.reedmast.settings.Settings
import io.reedmast.settings.Tuning
import io.reedmast.wire.JobSpec
import io.reedmast.wire.MachineType
import io.reedmast.wire.Order
import io.reedmast.wire.Report
import io.reedmast.wire.UserAnswer
import org.slf4j.LoggerFactory

/** The answer to a worker's report. */
sealed interface WorkerAnswer {
    data class Orders(val token: Long, val orders: List<Order>) : WorkerAnswer

    /** Another node answers this worker; null: nobody is known to. */
    data class Elsewhere(val label: String?) : WorkerAnswer

    data object Unavailable : WorkerAnswer
}

/** All the deciding parts of a controller, joined; used by one thread. [incarnation] names this process and no other. */
class Controller(
    private val settings: Settings,
    tuning: Tuning,
    private val clock: Clock,
    private val out: Gateway,
    limits: EffectiveLimits,
    incarnation: String,
    rollout: RolloutOptions = RolloutOptions(ClusterFeatures.registry),
) {
    private var machineTypes: Map<String, MachineType> = emptyMap()
    private var machineTypesAsked = false
    private var machineTypesDue = 0L
    val cluster = Cluster(settings, tuning, clock, out, limits, { machineTypes.values }, incarnation, rollout)
    private val leader = Leader(settings, tuning, clock, out, cluster, { machineTypes }, incarnation)
    private val jobs = JobRequests(settings, clock, out, limits, cluster) { machineTypes }

    private var tickDue = 0L

    /** Called every few milliseconds: decisions that are due, and at times the slower duties. */
    fun tick() {
        val now = clock.now()
        // What has just come up gets work before it is asked whether it is of use.
        cluster.pump()
        if (now >= tickDue) {
            tickDue = now + TICK_MS
            askMachineTypes()
            cluster.tick()
            leader.tick()
        }
    }

    private fun askMachineTypes() {
        val now = clock.now()
        if (machineTypesAsked || now < machineTypesDue) return
        machineTypesAsked = true
        out.machineTypes { found ->
            machineTypesAsked = false
            if (found == null || found.isEmpty()) {
                machineTypesDue = clock.now() + MACHINE_TYPES_RETRY_MS
            } else {
                machineTypesDue = clock.now() + MACHINE_TYPES_EVERY_MS
                machineTypes = found.associateBy { it.label }
                cluster.owned().forEach { it.machineTypesChanged() }
            }
        }
    }

    fun checkin(report: Report): WorkerAnswer {
        cluster.workerHeard()
        if (!cluster.mayAnswerWorkers()) return WorkerAnswer.Unavailable
        val shard = cluster.shardOfHost(report.host)
        if (shard == null) {
            if (!cluster.leading) return WorkerAnswer.Elsewhere(cluster.leader)
            leader.stranger(report)
            return WorkerAnswer.Elsewhere(cluster.shardOfHost(report.host)?.let { cluster.ownerOf(it) })
        }
        val owner = cluster.owners[shard.value]
        if (owner == null || owner.dropped) return WorkerAnswer.Elsewhere(cluster.sendOn(shard, report.host, report.addr))
        // While the shard is still being read, the answer shows the worker our token and renews its lease.
        if (!owner.active) return WorkerAnswer.Orders(cluster.records[shard.value]?.record?.token ?: 0L, emptyList())
        val orders = owner.checkin(report)
        // The worker would drop our answer and stay here until its lease is over: it must look for the shard's new owner.
        if (report.token > Token.last(owner.token)) return WorkerAnswer.Elsewhere(null)
        return WorkerAnswer.Orders(owner.tokenFor(report.host), orders)
    }

    fun submit(spec: JobSpec, answer: (UserAnswer) -> Unit) = jobs.submit(spec, answer)

    fun poll(jobId: String, answer: (UserAnswer) -> Unit) = jobs.poll(jobId, answer)

    fun abort(jobId: String, answer: (UserAnswer) -> Unit) = jobs.abort(jobId, answer)

    fun peerSent(message: PeerMessage) = cluster.peerSent(message)

    /**
     * Whether users should come here. During an outage for all controllers none is better than another, and one that the load
     * balancer has removed gets its users back only a while after the outage.
     */
    fun healthy(): Boolean = cluster.ready && machineTypes.isNotEmpty() && (cluster.fresh() || cluster.outageForAll())

    private companion object {
        const val TICK_MS = 250L
        const val MACHINE_TYPES_EVERY_MS = 60_000L
        const val MACHINE_TYPES_RETRY_MS = 2_000L
    }
}

/** What the threads at the door and at the watches may ask of the deciding thread. */
class Node(private val eventLoop: EventLoop, private val controller: Controller, private val timings: Timings) {
    private val log = LoggerFactory.getLogger("main")

    @Volatile
    private var healthyNow = false

    fun healthy(): Boolean = healthyNow

    @Volatile
    private var waiting = false

    /** Whether somebody waits to be told what the watch on jobs does not know yet. */
    fun questionsWait(): Boolean = waiting

    private fun noteWaiting() {
        waiting = controller.cluster.freshness.hasWaiters
    }

    fun tick() {
        controller.tick()
        timings.tick()
        val healthy = controller.healthy()
        if (healthy != healthyNow) log.info(if (healthy) "healthy: users are served" else "not healthy: {}", controller.cluster.freshness.describe())
        healthyNow = healthy
        noteWaiting()
    }

    fun checkin(report: Report, answer: (WorkerAnswer) -> Unit): Boolean = eventLoop.offer(Urgency.REPORT) { answer(controller.checkin(report)) }

    fun submit(spec: JobSpec, answer: (UserAnswer) -> Unit): Boolean = eventLoop.offer(Urgency.SUBMISSION) {
        controller.submit(spec, answer)
        noteWaiting()
    }

    fun poll(jobId: String, answer: (UserAnswer) -> Unit): Boolean = eventLoop.offer(Urgency.SUBMISSION) {
        controller.poll(jobId, answer)
        noteWaiting()
    }

    fun abort(jobId: String, answer: (UserAnswer) -> Unit): Boolean = eventLoop.offer(Urgency.SUBMISSION) {
        controller.abort(jobId, answer)
        noteWaiting()
    }

    /**
     * No rule depends on the arrival of a peer's message. News for display wait behind the questions of users; what controllers
     * confirm to each other must not, or many questions would end all work in an outage.
     */
    fun peerSent(message: PeerMessage) {
        val urgency = if (message is PeerMessage.ShardStatusUpdate) Urgency.SUBMISSION else Urgency.DECISION
        eventLoop.offer(urgency) { controller.peerSent(message) }
    }

    fun snapshot(items: List<StoredItem>, revision: Long, askedAt: Long) = eventLoop.post { controller.cluster.snapshot(items, revision, askedAt) }

    fun clusterEvents(events: List<WatchEvent>, revision: Long, askedAt: Long) = eventLoop.post {
        controller.cluster.clusterEvents(events, revision, askedAt)
    }

    fun jobsSnapshot(items: List<StoredItem>, revision: Long, askedAt: Long) = eventLoop.post { controller.cluster.jobsSnapshot(items, revision, askedAt) }

    fun jobEvents(events: List<WatchEvent>, revision: Long, askedAt: Long) = eventLoop.post {
        controller.cluster.jobEvents(events, revision, askedAt)
        noteWaiting()
    }
}

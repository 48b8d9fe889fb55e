package io.reedmast.app

import io.reedmast.fleet.Autoscaler
import io.reedmast.jobs.JobRequestHandler
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.StoredItem
import io.reedmast.kvstore.WatchEvent
import io.reedmast.ownership.Cluster
import io.reedmast.ownership.ClusterFeatures
import io.reedmast.ownership.FencingToken
import io.reedmast.peers.PeerMessage
import io.reedmast.ports.Clock
import io.reedmast.ports.Gateway
import io.reedmast.rollout.RolloutOptions
import io.reedmast.settings.Settings
import io.reedmast.settings.Tuning
import io.reedmast.wire.JobSpec
import io.reedmast.wire.MachineType
import io.reedmast.wire.UserAnswer
import io.reedmast.wire.WorkerCommand
import io.reedmast.wire.WorkerStatus
import org.slf4j.LoggerFactory

/** The answer to a worker's report. */
sealed interface WorkerAnswer {
    data class Commands(val token: Long, val commands: List<WorkerCommand>) : WorkerAnswer

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
    private val autoscaler = Autoscaler(settings, tuning, clock, out, cluster, { machineTypes }, incarnation)
    private val jobs = JobRequestHandler(settings, clock, out, limits, cluster) { machineTypes }

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
            autoscaler.tick()
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

    fun onHeartbeat(status: WorkerStatus): WorkerAnswer {
        cluster.onWorkerContact()
        if (!cluster.mayAcknowledgeHeartbeats()) return WorkerAnswer.Unavailable
        val shard = cluster.shardOfMachine(status.machineName)
        if (shard == null) {
            if (!cluster.leading) return WorkerAnswer.Elsewhere(cluster.leader)
            autoscaler.onUnassignedWorker(status)
            return WorkerAnswer.Elsewhere(cluster.shardOfMachine(status.machineName)?.let { cluster.ownerOf(it) })
        }
        val owner = cluster.owners[shard.value]
        if (owner == null || owner.dropped) return WorkerAnswer.Elsewhere(cluster.redirectTarget(shard, status.machineName, status.addr))
        // While the shard is still being read, the answer shows the worker our token and renews its lease.
        if (!owner.active) return WorkerAnswer.Commands(cluster.records[shard.value]?.record?.token ?: 0L, emptyList())
        val commands = owner.onHeartbeat(status)
        // The worker would drop our answer and stay here until its lease is over: it must look for the shard's new owner.
        if (status.token > FencingToken.last(owner.token)) return WorkerAnswer.Elsewhere(null)
        return WorkerAnswer.Commands(owner.tokenFor(status.machineName), commands)
    }

    fun submit(spec: JobSpec, answer: (UserAnswer) -> Unit) = jobs.submit(spec, answer)

    fun poll(jobId: String, answer: (UserAnswer) -> Unit) = jobs.poll(jobId, answer)

    fun cancel(jobId: String, answer: (UserAnswer) -> Unit) = jobs.cancel(jobId, answer)

    fun onPeerMessage(message: PeerMessage) = cluster.onPeerMessage(message)

    /**
     * Whether users should come here. During an outage for all controllers none is better than another, and one that the load
     * balancer has removed gets its users back only a while after the outage.
     */
    fun healthy(): Boolean = cluster.ready && machineTypes.isNotEmpty() && (cluster.isCurrent() || cluster.outageForAll())

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

    private fun updateQuestionsWaiting() {
        waiting = controller.cluster.staleness.hasWaiters
    }

    fun tick() {
        controller.tick()
        timings.tick()
        val healthy = controller.healthy()
        if (healthy != healthyNow) log.info(if (healthy) "healthy: users are served" else "not healthy: {}", controller.cluster.staleness.describe())
        healthyNow = healthy
        updateQuestionsWaiting()
    }

    fun onHeartbeat(status: WorkerStatus, answer: (WorkerAnswer) -> Unit): Boolean = eventLoop.offer(Urgency.REPORT) { answer(controller.onHeartbeat(status)) }

    fun submit(spec: JobSpec, answer: (UserAnswer) -> Unit): Boolean = eventLoop.offer(Urgency.SUBMISSION) {
        controller.submit(spec, answer)
        updateQuestionsWaiting()
    }

    fun poll(jobId: String, answer: (UserAnswer) -> Unit): Boolean = eventLoop.offer(Urgency.SUBMISSION) {
        controller.poll(jobId, answer)
        updateQuestionsWaiting()
    }

    fun cancel(jobId: String, answer: (UserAnswer) -> Unit): Boolean = eventLoop.offer(Urgency.SUBMISSION) {
        controller.cancel(jobId, answer)
        updateQuestionsWaiting()
    }

    /**
     * No rule depends on the arrival of a peer's message. News for display wait behind the questions of users; what controllers
     * confirm to each other must not, or many questions would end all work in an outage.
     */
    fun onPeerMessage(message: PeerMessage) {
        val urgency = if (message is PeerMessage.ShardStatusUpdate) Urgency.SUBMISSION else Urgency.DECISION
        eventLoop.offer(urgency) { controller.onPeerMessage(message) }
    }

    fun snapshot(items: List<StoredItem>, revision: Long, askedAt: Long) = eventLoop.post { controller.cluster.snapshot(items, revision, askedAt) }

    fun clusterEvents(events: List<WatchEvent>, revision: Long, askedAt: Long) = eventLoop.post {
        controller.cluster.clusterEvents(events, revision, askedAt)
    }

    fun jobsSnapshot(items: List<StoredItem>, revision: Long, askedAt: Long) = eventLoop.post { controller.cluster.jobsSnapshot(items, revision, askedAt) }

    fun jobEvents(events: List<WatchEvent>, revision: Long, askedAt: Long) = eventLoop.post {
        controller.cluster.jobEvents(events, revision, askedAt)
        updateQuestionsWaiting()
    }
}

package io.reedmast.app

import io.reedmast.autoscaling.Autoscaler
import io.reedmast.cluster.Cluster
import io.reedmast.cluster.ClusterFeatures
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.model.FencingToken
import io.reedmast.ports.Clock
import io.reedmast.ports.CloudListing
import io.reedmast.ports.Gateway
import io.reedmast.ports.PeerMessage
import io.reedmast.requests.JobRequestHandler
import io.reedmast.rollout.RolloutOptions
import io.reedmast.settings.Settings
import io.reedmast.settings.ShardId
import io.reedmast.settings.Tuning
import io.reedmast.shard.ShardOwner
import io.reedmast.wire.JobSpec
import io.reedmast.wire.MachineType
import io.reedmast.wire.UserAnswer
import io.reedmast.wire.WorkerCommand
import io.reedmast.wire.WorkerStatus

/** The answer to a worker's report. */
sealed interface WorkerAnswer {
    /** What the worker is to do, under this fencing token. */
    data class Commands(val token: Long, val commands: List<WorkerCommand>) : WorkerAnswer

    /** Another controller answers this worker; null: nobody is known to. */
    data class Redirect(val label: String?) : WorkerAnswer

    /** This controller must not answer workers now: they go on as they are and ask again. */
    data object Unavailable : WorkerAnswer
}

/**
 * All the deciding parts of a controller, joined; used by one thread. [incarnation] names this process and no other.
 */
class Controller(
    private val settings: Settings,
    tuning: Tuning,
    private val clock: Clock,
    private val gateway: Gateway,
    limits: EffectiveLimits,
    incarnation: String,
    rollout: RolloutOptions = RolloutOptions(ClusterFeatures.registry),
) {
    private var machineTypes: Map<String, MachineType> = emptyMap()
    private var machineTypesAsked = false
    private var machineTypesDue = 0L
    val cluster = Cluster(settings, tuning, clock, gateway, limits, { machineTypes.values }, incarnation, rollout)
    private val autoscaler = Autoscaler(settings, tuning, clock, gateway, cluster, { machineTypes }, incarnation)
    private val jobs = JobRequestHandler(settings, clock, gateway, limits, cluster) { machineTypes }

    private var runDue = 0L

    /** Called every few milliseconds: decisions that are due, and at times the slower duties. */
    fun runOnce() {
        val now = clock.now()
        // What has just come up gets work before it is asked whether it is of use.
        cluster.reconcile()
        if (now >= runDue) {
            runDue = now + RUN_INTERVAL_MS
            askMachineTypes()
            cluster.runOnce()
            autoscaler.runOnce()
        }
    }

    private fun askMachineTypes() {
        val now = clock.now()
        if (machineTypesAsked || now < machineTypesDue) return
        machineTypesAsked = true
        gateway.machineTypes { listing ->
            machineTypesAsked = false
            when (listing) {
                is CloudListing.Complete -> onMachineTypes(listing.items)
                CloudListing.Unavailable -> machineTypesDue = clock.now() + MACHINE_TYPES_RETRY_MS
            }
        }
    }

    private fun onMachineTypes(listed: List<MachineType>) {
        if (listed.isEmpty()) {
            machineTypesDue = clock.now() + MACHINE_TYPES_RETRY_MS
            return
        }
        machineTypesDue = clock.now() + MACHINE_TYPES_EVERY_MS
        machineTypes = listed.associateBy { it.label }
        cluster.activeOwners().forEach { it.onMachineTypesChanged() }
    }

    /**
     * Handles the heartbeat of any worker: of one of this controller, of another one or of one that is not yet
     * assigned.
     */
    fun onHeartbeat(status: WorkerStatus): WorkerAnswer {
        cluster.onWorkerContact()
        if (!cluster.mayAcknowledgeHeartbeats()) return WorkerAnswer.Unavailable
        val shard = cluster.shardOfMachine(status.machineName)
        return if (shard == null) answerUnassigned(status) else answerMember(shard, status)
    }

    /** The answer to a worker whose machine belongs to no shard: the leader considers it. */
    private fun answerUnassigned(status: WorkerStatus): WorkerAnswer {
        if (!cluster.leading) return WorkerAnswer.Redirect(cluster.leader)
        autoscaler.onUnassignedWorker(status)
        return WorkerAnswer.Redirect(cluster.shardOfMachine(status.machineName)?.let { cluster.ownerOf(it) })
    }

    /** The answer to a worker whose machine belongs to [shard]. */
    private fun answerMember(shard: ShardId, status: WorkerStatus): WorkerAnswer {
        val owner = cluster.owners[shard]
        return when {
            owner == null || owner.dropped -> {
                WorkerAnswer.Redirect(cluster.redirectTarget(shard, status.machineName, status.addr))
            }

            // While the shard is still being read, the answer shows the worker our token and renews its lease.
            !owner.active -> WorkerAnswer.Commands(cluster.shardRecords[shard.value]?.record?.token ?: 0L, emptyList())

            else -> answerOf(owner, status)
        }
    }

    private fun answerOf(owner: ShardOwner, status: WorkerStatus): WorkerAnswer {
        val commands = owner.onHeartbeat(status)
        // The worker would drop our answer and stay here until its lease is over: it must look for the shard's new
        // owner.
        if (status.token > FencingToken.lastOfRange(owner.token)) return WorkerAnswer.Redirect(null)
        return WorkerAnswer.Commands(owner.tokenFor(status.machineName), commands)
    }

    /** Accepts or refuses a job; [answer] may be called before this returns, or later on the event loop. */
    fun submit(spec: JobSpec, answer: (UserAnswer) -> Unit) = jobs.submit(spec, answer)

    /** Answers how far a job is, as [submit] does. */
    fun poll(jobId: String, answer: (UserAnswer) -> Unit) = jobs.poll(jobId, answer)

    /** Cancels a job; it answers as [submit] does, and says that the job is cancelled only once that is stored. */
    fun cancel(jobId: String, answer: (UserAnswer) -> Unit) = jobs.cancel(jobId, answer)

    /** Takes up a message of another controller. */
    fun onPeerMessage(message: PeerMessage) = cluster.onPeerMessage(message)

    /**
     * Whether users should come here. During an outage for all controllers none is better than another, and one that
     * the load balancer has removed gets its users back only a while after the outage.
     */
    fun healthy(): Boolean =
        cluster.ready && machineTypes.isNotEmpty() && (cluster.isCurrent() || cluster.isStoreUnreachableForAll())

    private companion object {
        const val RUN_INTERVAL_MS = 250L
        const val MACHINE_TYPES_EVERY_MS = 60_000L
        const val MACHINE_TYPES_RETRY_MS = 2_000L
    }
}

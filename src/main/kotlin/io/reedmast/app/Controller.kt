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

/** The answer to a worker's heartbeat. */
sealed interface WorkerAnswer {
    /** Commands for the worker under this fencing token, possibly none. */
    data class Commands(val token: Long, val commands: List<WorkerCommand>) : WorkerAnswer

    /** The worker must turn to the controller with this label; if it is null, it must find the right one by itself. */
    data class Redirect(val label: String?) : WorkerAnswer

    /** This controller must not answer workers now: they continue unchanged and send another heartbeat. */
    data object Unavailable : WorkerAnswer
}

/**
 * Combines all classes of a controller that make decisions. Used only on the event loop.
 *
 * @param incarnation identifies this process; never reused by another one.
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
    private var isMachineTypesRequestPending = false
    private var nextMachineTypesRequestAt = 0L
    val cluster = Cluster(settings, tuning, clock, gateway, limits, { machineTypes.values }, incarnation, rollout)
    private val autoscaler = Autoscaler(settings, tuning, clock, gateway, cluster, { machineTypes }, incarnation)
    private val jobs = JobRequestHandler(settings, clock, gateway, limits, cluster) { machineTypes }

    private var nextRunAt = 0L

    /** Called periodically: makes the decisions that are due and, every [RUN_INTERVAL_MS], does the slower work. */
    fun runOnce() {
        val now = clock.now()
        // First, so that machines that have just started get tasks before it is checked whether they are needed.
        cluster.reconcile()
        if (now >= nextRunAt) {
            nextRunAt = now + RUN_INTERVAL_MS
            requestMachineTypes()
            cluster.runOnce()
            autoscaler.runOnce()
        }
    }

    private fun requestMachineTypes() {
        val now = clock.now()
        if (isMachineTypesRequestPending || now < nextMachineTypesRequestAt) return
        isMachineTypesRequestPending = true
        gateway.machineTypes { listing ->
            isMachineTypesRequestPending = false
            when (listing) {
                is CloudListing.Complete -> onMachineTypes(listing.items)
                CloudListing.Unavailable -> nextMachineTypesRequestAt = clock.now() + MACHINE_TYPES_RETRY_MS
            }
        }
    }

    private fun onMachineTypes(listed: List<MachineType>) {
        if (listed.isEmpty()) {
            nextMachineTypesRequestAt = clock.now() + MACHINE_TYPES_RETRY_MS
            return
        }
        nextMachineTypesRequestAt = clock.now() + MACHINE_TYPES_INTERVAL_MS
        machineTypes = listed.associateBy { it.label }
        cluster.activeOwners().forEach { it.onMachineTypesChanged() }
    }

    /** Handles the heartbeat of any worker, whether its shard is owned here or elsewhere, or it has none yet. */
    fun onHeartbeat(status: WorkerStatus): WorkerAnswer {
        cluster.onWorkerContact()
        if (!cluster.mayAcknowledgeHeartbeats()) return WorkerAnswer.Unavailable
        val shard = cluster.shardOfMachine(status.machineName)
        return if (shard == null) answerUnassigned(status) else answerAssigned(shard, status)
    }

    /** The answer to a worker whose machine belongs to no shard: the leader decides about it. */
    private fun answerUnassigned(status: WorkerStatus): WorkerAnswer {
        if (!cluster.leading) return WorkerAnswer.Redirect(cluster.leader)
        autoscaler.onUnassignedWorker(status)
        return WorkerAnswer.Redirect(cluster.shardOfMachine(status.machineName)?.let { cluster.ownerOf(it) })
    }

    /** The answer to a worker whose machine belongs to [shard]. */
    private fun answerAssigned(shard: ShardId, status: WorkerStatus): WorkerAnswer {
        val owner = cluster.owners[shard]
        return when {
            owner == null || owner.dropped -> {
                WorkerAnswer.Redirect(cluster.redirectTarget(shard, status.machineName, status.addr))
            }

            // While the shard is still being read, the answer gives the worker our token and renews its lease.
            !owner.active -> WorkerAnswer.Commands(cluster.shardRecords[shard.value]?.record?.token ?: 0L, emptyList())

            else -> answerOf(owner, status)
        }
    }

    private fun answerOf(owner: ShardOwner, status: WorkerStatus): WorkerAnswer {
        val commands = owner.onHeartbeat(status)
        // A token above our range is that of a new owner of the shard. The worker would ignore our answer and keep
        // reporting here until its lease expires, so it is redirected to find the new owner.
        if (status.token > FencingToken.lastOfRange(owner.token)) return WorkerAnswer.Redirect(null)
        return WorkerAnswer.Commands(owner.tokenFor(status.machineName), commands)
    }

    /** Accepts or rejects a job; [answer] may be called before this returns, or later on the event loop. */
    fun submit(spec: JobSpec, answer: (UserAnswer) -> Unit) = jobs.submit(spec, answer)

    /** Answers with the state of a job; [answer] may be called before this returns, or later on the event loop. */
    fun poll(jobId: String, answer: (UserAnswer) -> Unit) = jobs.poll(jobId, answer)

    /**
     * Cancels a job; [answer] may be called before this returns, or later on the event loop, and reports the
     * cancellation only once it is stored.
     */
    fun cancel(jobId: String, answer: (UserAnswer) -> Unit) = jobs.cancel(jobId, answer)

    /** Handles a message from another controller. */
    fun onPeerMessage(message: PeerMessage) = cluster.onPeerMessage(message)

    /**
     * Whether the load balancer should send users here. True also while the store is unreachable for all controllers:
     * no other one would serve users better, and a controller that the load balancer has removed gets its users back
     * only some time after the outage.
     */
    fun healthy(): Boolean =
        cluster.ready && machineTypes.isNotEmpty() && (cluster.isCurrent() || cluster.isStoreUnreachableForAll())

    private companion object {
        const val RUN_INTERVAL_MS = 250L
        const val MACHINE_TYPES_INTERVAL_MS = 60_000L
        const val MACHINE_TYPES_RETRY_MS = 2_000L
    }
}

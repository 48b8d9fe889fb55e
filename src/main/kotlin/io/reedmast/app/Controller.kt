package io.reedmast.app

import io.reedmast.autoscaling.Autoscaler
import io.reedmast.cluster.Cluster
import io.reedmast.cluster.ClusterFeatures
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.ports.Clock
import io.reedmast.ports.CloudListing
import io.reedmast.ports.Gateway
import io.reedmast.ports.PeerMessage
import io.reedmast.requests.JobRequestHandler
import io.reedmast.rollout.RolloutOptions
import io.reedmast.settings.Settings
import io.reedmast.settings.Tuning
import io.reedmast.wire.JobSpec
import io.reedmast.wire.MachineType
import io.reedmast.wire.UserAnswer
import io.reedmast.wire.WorkerStatus

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
    private val heartbeats = HeartbeatResponder(clock, cluster, autoscaler)
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
    fun onHeartbeat(status: WorkerStatus): WorkerAnswer = heartbeats.onHeartbeat(status)

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

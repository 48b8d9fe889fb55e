package io.reedmast.app

import io.reedmast.autoscaling.Autoscaler
import io.reedmast.cluster.Cluster
import io.reedmast.commands.CancelledTaskStops
import io.reedmast.model.FencingToken
import io.reedmast.ports.Clock
import io.reedmast.settings.ShardId
import io.reedmast.shard.ShardOwner
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
 * Answers the heartbeats of all workers, whether their shard is owned here or elsewhere, or they have none yet
 * (PROTOCOL, POST /checkin).
 */
internal class HeartbeatResponder(clock: Clock, private val cluster: Cluster, private val autoscaler: Autoscaler) {
    private val log = HeartbeatLog(clock, cluster)
    private val cancelledTaskStops = CancelledTaskStops(cluster.jobs::isCancelledOrEnded)

    /** Handles the heartbeat with [status]; only an answer with commands renews the worker's lease. */
    fun onHeartbeat(status: WorkerStatus): WorkerAnswer {
        cluster.onWorkerContact()
        val mayAcknowledge = cluster.mayAcknowledgeHeartbeats()
        log.recordAcknowledgement(mayAcknowledge)
        val decision = if (mayAcknowledge) decide(status) else unavailable()
        log.recordDecision(status, decision)
        return decision.answer
    }

    private fun unavailable() = HeartbeatDecision(WorkerAnswer.Unavailable, "self-fence")

    private fun decide(status: WorkerStatus): HeartbeatDecision {
        val shard = cluster.shardOfMachine(status.machineName)
        return if (shard == null) decideUnassigned(status) else decideAssigned(shard, status)
    }

    /** The answer to a worker whose machine belongs to no shard: the leader decides about it. */
    private fun decideUnassigned(status: WorkerStatus): HeartbeatDecision {
        if (!cluster.leading) return redirect(cluster.leader, "machine of no shard")
        autoscaler.onUnassignedWorker(status)
        val owner = cluster.shardOfMachine(status.machineName)?.let { cluster.ownerOf(it) }
        return redirect(owner, "machine of no shard")
    }

    /** The answer to a worker whose machine belongs to [shard]. */
    private fun decideAssigned(shard: ShardId, status: WorkerStatus): HeartbeatDecision {
        val owner = cluster.owners[shard]
        return when {
            owner == null || owner.dropped ->
                redirect(
                    cluster.redirectTarget(shard, status.machineName, status.addr),
                    "not owner of shard ${shard.value}",
                )

            // While the shard is still being read, the answer gives the worker our token and renews its lease.
            !owner.active -> {
                val token = cluster.shardRecords[shard.value]?.record?.token ?: 0L
                acknowledge(status, token, emptyList(), "shard being restored")
            }

            else -> decideOwned(owner, status)
        }
    }

    private fun decideOwned(owner: ShardOwner, status: WorkerStatus): HeartbeatDecision {
        val result = owner.onHeartbeat(status)
        // A token above our range is that of a new owner of the shard. The worker would ignore our answer and keep
        // reporting here until its lease expires, so it is redirected to find the new owner.
        if (status.token > FencingToken.lastOfRange(owner.token)) return redirect(null, "higher token seen")
        return acknowledge(status, owner.tokenFor(status.machineName), result.commands, result.evidence.description)
    }

    /** The answer that renews the lease: it never leaves a cancelled task without its stop. */
    private fun acknowledge(status: WorkerStatus, token: Long, commands: List<WorkerCommand>, reason: String) =
        HeartbeatDecision(WorkerAnswer.Commands(token, cancelledTaskStops.addTo(commands, status)), reason)

    private fun redirect(label: String?, reason: String) = HeartbeatDecision(WorkerAnswer.Redirect(label), reason)
}

/** The [answer] to a heartbeat, and the [reason] for it, for the log. */
internal class HeartbeatDecision(val answer: WorkerAnswer, val reason: String)

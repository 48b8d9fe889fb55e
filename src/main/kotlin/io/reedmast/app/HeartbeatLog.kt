package io.reedmast.app

import io.reedmast.cluster.Cluster
import io.reedmast.ports.Clock
import io.reedmast.wire.TaskState
import io.reedmast.wire.TaskStatus
import io.reedmast.wire.WorkerCommand
import io.reedmast.wire.WorkerStatus
import org.slf4j.LoggerFactory

/**
 * Logs why heartbeats got their answers: each one that reports unfinished tasks of cancelled jobs, and each change of
 * whether heartbeats are acknowledged at all. At most [LogRateLimiter.LINES_PER_S] lines a second are written.
 */
internal class HeartbeatLog(clock: Clock, private val cluster: Cluster) {
    private val log = LoggerFactory.getLogger("heartbeats")
    private val rateLimiter = LogRateLimiter(clock)
    private var isAcknowledging: Boolean? = null

    /** Records whether this controller may acknowledge the heartbeat that has just arrived. */
    fun recordAcknowledgement(mayAcknowledge: Boolean) {
        if (mayAcknowledge == isAcknowledging) return
        isAcknowledging = mayAcknowledge
        log.info(
            "heartbeats: {}, {}",
            if (mayAcknowledge) "acknowledged" else "not acknowledged",
            cluster.describeAcknowledgement(),
        )
    }

    /** Records the [decision] on the heartbeat with [status]. */
    fun recordDecision(status: WorkerStatus, decision: HeartbeatDecision) {
        val cancelled = status.tasks.filter { isCancelled(it) }
        if (cancelled.isEmpty() || !rateLimiter.tryAcquire()) return
        log.info(
            "machine {}: heartbeat {}/{} with token {} reports {} cancelled tasks, first {}: {}, {}; {}; {} not logged",
            status.machineName,
            status.epoch,
            status.sequence,
            status.token,
            cancelled.size,
            cancelled.first().id,
            describe(decision.answer),
            decision.reason,
            cluster.describeAcknowledgement(),
            rateLimiter.takeSuppressedCount(),
        )
    }

    private fun isCancelled(task: TaskStatus) =
        task.state != TaskState.ENDED && cluster.jobs.isCancelledOrEnded(task.id.jobId)

    private fun describe(answer: WorkerAnswer): String = when (answer) {
        is WorkerAnswer.Commands -> {
            val stopCount = answer.commands.count { it is WorkerCommand.StopTask }
            "answered 200 under token ${answer.token} with $stopCount stops"
        }

        is WorkerAnswer.Redirect -> "answered 421 to ${answer.label}"

        WorkerAnswer.Unavailable -> "answered 503"
    }
}

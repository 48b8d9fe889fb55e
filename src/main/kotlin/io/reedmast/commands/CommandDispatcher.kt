package io.reedmast.commands

import io.reedmast.model.DirectLaunch
import io.reedmast.model.Machine
import io.reedmast.model.Placement
import io.reedmast.model.ShardState
import io.reedmast.model.StopReason
import io.reedmast.ports.Cloud
import io.reedmast.ports.WorkerTransport
import io.reedmast.wire.Reply
import io.reedmast.wire.WorkerCommand
import io.reedmast.wire.WorkerStatus
import io.reedmast.wire.fittingOneMessage
import org.slf4j.LoggerFactory

/**
 * Sends commands to workers directly (PROTOCOL, POST /do): they are queued as they are decided, and sent together.
 *
 * Launches and stops also go out with the answers to heartbeats, so a direct command that is lost does no harm.
 */
class CommandDispatcher(
    private val shardState: ShardState,
    cloud: Cloud,
    private val workers: WorkerTransport,
    cancelledTaskStops: CancelledTaskStops,
    /** Applies the status in the reply to a direct call to the machine. */
    onStatusReport: (Machine, WorkerStatus) -> Unit,
) {
    private val log = LoggerFactory.getLogger("shard")
    private val queue = CommandQueue()
    private val callPolicy = DirectCallPolicy(shardState)
    private val droppedStops = DroppedStopLog(shardState)
    private val replies = DirectReplyHandler(shardState, queue, cancelledTaskStops, onStatusReport)
    private val announcer = TokenAnnouncer(shardState, cloud, workers, replies, cancelledTaskStops)
    private val contestedMachinePoller = ContestedMachinePoller(shardState, workers, replies)

    /** Called when the shard has just been acquired and restored. */
    fun start() = announcer.start()

    /**
     * Called periodically: announces this owner's token to machines that have sent no heartbeat since the shard was
     * acquired.
     */
    fun announceToken(now: Long) = announcer.runOnce(now)

    /** Called periodically: polls the workers that another shard's owner answers for what is on their machines. */
    fun pollContestedMachines(now: Long) = contestedMachinePoller.runOnce(now)

    /** Queues the launch of a stored placement, but only if it is known what is on its machine. */
    fun launch(placement: Placement) {
        if (!placement.machine.isStateKnown) return
        queue.add(placement.machine, WorkerCommand.StartTask(placement.id, placement.attempt))
    }

    /** Stops an attempt; for a task of a gang, the whole gang, whose tasks have to save at the same time. */
    fun stop(placement: Placement, reason: StopReason) {
        val isFirstStop = placement.stopReason == null
        stopOne(placement, reason)
        // If the task was to be stopped already, that earlier stop included the rest of its gang.
        if (!isFirstStop || !placement.job.spec.isGang) return
        val otherTasks = placement.job.placements().filter { it.stopReason == null }.toList()
        otherTasks.forEach { stopOne(it, reason) }
    }

    private fun stopOne(placement: Placement, reason: StopReason) {
        if (placement.stopReason == StopReason.CANCELLED || placement.stopReason == reason) return
        placement.stopReason = reason
        val machine = placement.machine
        if (reason != StopReason.CANCELLED) {
            log.info(
                "task {} attempt {}: to be stopped on {}: {}",
                placement.id,
                placement.attempt,
                machine.name,
                reason,
            )
        }
        if (placement.committed && machine.isStateKnown && placement.launchEpoch == machine.epoch) {
            queue.add(machine, stopCommand(placement))
        }
    }

    /** The command that stops an attempt, with the time it is given to save (PROTOCOL, POST /checkin: `stop`). */
    fun stopCommand(placement: Placement): WorkerCommand.StopTask {
        val spec = placement.job.spec
        val isSaveUseful = spec.resumable && !isProgressUseless(placement.stopReason)
        val graceS = if (isSaveUseful) spec.saveS + GRACE_SLACK_S else 0.0
        return WorkerCommand.StopTask(placement.id, placement.attempt, graceS)
    }

    /** Whether the progress of a stopped attempt is of no use to anybody, or is lost already. */
    private fun isProgressUseless(reason: StopReason?) =
        reason == StopReason.CANCELLED || reason == StopReason.GANG_INCOMPLETE

    /**
     * Sends the queued commands in one call for each machine. Those for machines that may not be called now are
     * dropped, and so are those that do not fit into one message.
     */
    fun send() {
        for ((machine, queued) in queue.drain()) {
            val commands = queued.filter { it !is WorkerCommand.StartTask || isStillValid(machine, it) }
            val addr = machine.addr
            if (commands.isEmpty() || addr == null) continue
            val refusal = callPolicy.refusalFor(machine)
            if (refusal == null) {
                call(machine, addr, commands.fittingOneMessage())
            } else {
                droppedStops.record(refusal, commands.count { it is WorkerCommand.StopTask })
            }
        }
        droppedStops.logIfDue()
    }

    /**
     * Whether a queued launch is still valid: since it was decided, a status may have ended its placement, or a stop
     * may have been decided, for instance because the job was cancelled.
     */
    private fun isStillValid(machine: Machine, launch: WorkerCommand.StartTask): Boolean {
        val placement = machine.placements[launch.id] ?: return false
        return placement.attempt == launch.attempt && placement.stopReason == null
    }

    private fun call(machine: Machine, addr: String, commands: List<WorkerCommand>) {
        val token = shardState.tokenFor(machine)
        val epoch = machine.epoch
        commands.filterIsInstance<WorkerCommand.StartTask>().forEach {
            recordLaunch(machine, it, DirectLaunch(epoch, token))
        }
        machine.pendingDirectCalls++
        workers.call(addr, token, epoch, commands) { reply ->
            machine.pendingDirectCalls--
            onReply(machine, commands, reply)
        }
    }

    private fun recordLaunch(machine: Machine, command: WorkerCommand.StartTask, launch: DirectLaunch) {
        machine.directLaunches.recordSent(command.id, command.attempt, launch)
        val placement = machine.placements[command.id] ?: return
        if (placement.attempt == command.attempt) placement.launchEpoch = launch.epoch
    }

    private fun onReply(machine: Machine, commands: List<WorkerCommand>, reply: Reply) {
        if (reply is Reply.NotSent) {
            val launches = commands.filterIsInstance<WorkerCommand.StartTask>()
            launches.forEach { machine.directLaunches.recordNotSent(it.id, it.attempt) }
        }
        if (reply is Reply.Answer) {
            replies.onReply(machine, reply, commands)
        } else {
            machine.unansweredDirectCallAt = shardState.clock.now()
        }
    }

    private companion object {
        /** Grace that a task is given beyond the time that its job specifies for saving. */
        const val GRACE_SLACK_S = 1.0
    }
}

package io.reedmast.commands

import io.reedmast.model.DirectLaunch
import io.reedmast.model.Machine
import io.reedmast.model.Placement
import io.reedmast.model.ShardState
import io.reedmast.model.StopReason
import io.reedmast.ports.Cloud
import io.reedmast.ports.WorkerTransport
import io.reedmast.wire.MalformedException
import io.reedmast.wire.Reply
import io.reedmast.wire.WorkerCommand
import io.reedmast.wire.WorkerStatus
import org.slf4j.LoggerFactory

/** Direct commands to workers. Launches also go out with the answers to reports, so none of these must arrive. */
class CommandDispatcher(
    private val shardState: ShardState,
    private val cloud: Cloud,
    private val workers: WorkerTransport,
    private val onStatusReport: (Machine, WorkerStatus) -> Unit,
) {
    private val log = LoggerFactory.getLogger("shard")
    private val outbox = LinkedHashMap<Machine, MutableList<WorkerCommand>>()
    private val announcer = TokenAnnouncer(shardState, cloud, workers, ::answered)

    /** The shard has just been taken. */
    fun begin() = announcer.begin()

    /** Called now and then: shows our token to machines that have not reported since the shard was taken. */
    fun announceToken(now: Long) = announcer.runOnce(now)

    fun launch(placement: Placement) {
        if (placement.machine.trusted) {
            outbox.getOrPut(placement.machine) {
                ArrayList()
            }.add(WorkerCommand.StartTask(placement.id, placement.attempt))
        }
    }

    /** Stops an attempt, and with a task of a gang all of it: each has to save at the same time. */
    fun stop(placement: Placement, reason: StopReason) {
        val begins = placement.stopReason == null
        stopOne(placement, reason)
        // Whatever stopped the first of them has stopped all.
        if (begins &&
            placement.job.spec.gang
        ) {
            placement.job.placements().filter { it.stopReason == null }.toList().forEach { stopOne(it, reason) }
        }
    }

    private fun stopOne(placement: Placement, reason: StopReason) {
        if (placement.stopReason == StopReason.CANCELLED || placement.stopReason == reason) return
        placement.stopReason = reason
        if (reason !=
            StopReason.CANCELLED
        ) {
            log.info(
                "task {} attempt {}: to be stopped on {}: {}",
                placement.id,
                placement.attempt,
                placement.machine.name,
                reason,
            )
        }
        val machine = placement.machine
        if (placement.committed && machine.trusted && placement.launchEpoch == machine.epoch) {
            outbox.getOrPut(machine) { ArrayList() }.add(stopCommand(placement))
        }
    }

    fun stopCommand(placement: Placement): WorkerCommand.StopTask {
        val spec = placement.job.spec
        val grace = if (savesNothing(placement.stopReason) || !spec.resumable) 0.0 else spec.saveS + GRACE_SLACK_S
        return WorkerCommand.StopTask(placement.id, placement.attempt, grace)
    }

    /** The progress is of no use to anybody, or is lost already. */
    private fun savesNothing(reason: StopReason?) =
        reason == StopReason.CANCELLED || reason == StopReason.GANG_INCOMPLETE

    /** Sends what has gathered for the workers. */
    fun send() {
        if (outbox.isEmpty()) return
        val batches = LinkedHashMap(outbox)
        outbox.clear()
        for ((machine, gathered) in batches) {
            val commands = gathered.filter { it !is WorkerCommand.StartTask || isWanted(machine, it) }
            val addr = machine.addr
            if (commands.isEmpty() || addr == null || !machine.trusted || machine.directCalls >= MAX_DIRECT_CALLS ||
                !shardState.isCurrent() ||
                seemsAway(machine)
            ) {
                continue
            }
            val token = shardState.tokenFor(machine)
            val epoch = machine.epoch
            val launches = commands.filterIsInstance<WorkerCommand.StartTask>()
            for (command in launches) {
                machine.recordLaunch(command.id, command.attempt, DirectLaunch(epoch, token))
                machine.placements[command.id]?.takeIf { it.attempt == command.attempt }?.launchEpoch = epoch
            }
            machine.directCalls++
            workers.call(addr, token, epoch, commands) { reply ->
                machine.directCalls--
                if (reply is Reply.NotSent) launches.forEach { machine.recordNotSent(it.id, it.attempt) }
                if (reply is Reply.Answer) {
                    answered(machine, reply)
                } else {
                    machine.callUnansweredAt =
                        shardState.clock.now()
                }
            }
        }
    }

    /** Since the launch was decided, a report may have ended its placement, or the job may have been cancelled. */
    private fun isWanted(machine: Machine, launch: WorkerCommand.StartTask): Boolean {
        val placement = machine.placements[launch.id] ?: return false
        return placement.attempt == launch.attempt && placement.stopReason == null
    }

    /**
     * Whether calling the machine would only hold a thread for seconds: it left a command unanswered since its last
     * report, or its report is overdue. A few dozen hung machines would otherwise hold up the commands to all others.
     */
    private fun seemsAway(machine: Machine) = machine.callUnansweredAt >= machine.lastHeartbeatAt ||
        shardState.clock.now() - machine.lastHeartbeatAt > shardState.heartbeatLateMs

    private fun answered(machine: Machine, reply: Reply.Answer): WorkerStatus? {
        if (shardState.dropped || (reply.status != 200 && reply.status != 409)) return null
        return try {
            WorkerStatus.parse(reply.body).also { if (it.machineName == machine.name) onStatusReport(machine, it) }
        } catch (e: MalformedException) {
            log.error("machine {}: malformed answer: {}", machine.name, e.message)
            null
        }
    }

    private companion object {
        const val MAX_DIRECT_CALLS = 3
        const val GRACE_SLACK_S = 1.0
    }
}

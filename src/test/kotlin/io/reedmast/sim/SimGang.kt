package io.reedmast.sim

import io.reedmast.wire.TaskEndCause
import io.reedmast.wire.TaskState

/**
 * One attempt of a gang, across all its workers: its tasks wait for each other, run, save and complete together.
 *
 * Tasks of the same attempt number find each other without the controllers.
 */
class SimGang(private val world: World, private val job: World.SimJob) {
    /** A task of the attempt on its worker. */
    interface Member {
        val task: Int

        /** Whether its machine hangs and executes nothing. */
        val hung: Boolean

        fun setState(state: TaskState)

        /** The task exits on its own. */
        fun exit(cause: TaskEndCause)
    }

    private enum class Phase { WAITING, RUNNING, STOPPING, FAILED, ENDED }

    private val members = LinkedHashMap<Int, Member>()
    private var phase = Phase.WAITING
    private var startedAt = 0L
    private var firstStopAt = 0L
    private val stoppedTasks = HashSet<Int>()

    /** The task has fetched its image and waits for the others. */
    fun taskReady(member: Member) {
        members[member.task] = member
        member.setState(TaskState.WAITING)
        if (phase != Phase.WAITING) {
            // The attempt is no longer waiting for tasks, so this one can only time out.
            exitLater(member, world.settings.workers.gangTimeoutS, TaskEndCause.GANG_TIMED_OUT)
        } else if (members.size == job.spec.taskCount) {
            start()
        } else {
            exitLater(member, world.settings.workers.gangTimeoutS, TaskEndCause.GANG_TIMED_OUT) {
                phase == Phase.WAITING
            }
        }
    }

    private fun start() {
        phase = Phase.RUNNING
        startedAt = world.now()
        members.values.forEach { it.setState(TaskState.RUNNING) }
        if (job.fails) {
            world.after(FAILURE_DELAY_MS) { members.values.toList().forEach { it.exit(TaskEndCause.ERROR) } }
            return
        }
        world.after(maxOf(1L, job.runMs - job.savedProgressMs)) { if (phase == Phase.RUNNING) complete() }
    }

    private fun complete() {
        phase = Phase.ENDED
        val all = members.values.toList()
        all.forEach { job.complete(it.task) }
        all.forEach { it.exit(TaskEndCause.DONE) }
    }

    /** A task has ended or disappeared, or its machine hangs. */
    fun taskLost(task: Int) {
        val member = members.remove(task) ?: return
        when (phase) {
            Phase.RUNNING, Phase.STOPPING -> fail()
            else -> Unit
        }
        if (member.hung && phase == Phase.FAILED) members[task] = member
    }

    private fun progressMs() = job.savedProgressMs + world.now() - startedAt

    private fun fail() {
        if (phase == Phase.RUNNING && job.spec.checkpointS > 0) {
            val intervalMs = (job.spec.checkpointS * 1000).toLong()
            job.savedProgressMs = maxOf(job.savedProgressMs, progressMs() / intervalMs * intervalMs)
        }
        phase = Phase.FAILED
        members.values.toList().forEach {
            exitLater(it, world.settings.workers.peerLossDetectionS, TaskEndCause.PEER_LOST)
        }
    }

    private fun exitLater(member: Member, seconds: Double, cause: TaskEndCause, condition: () -> Boolean = { true }) {
        world.after((seconds * 1000).toLong()) {
            if (members[member.task] === member &&
                condition()
            ) {
                member.exit(cause)
            }
        }
    }

    /** Handles a stop command; true if the task saves and exits on its own, false if it exits without saving. */
    fun requestStop(task: Int, graceS: Double): Boolean {
        val saves = job.spec.resumable && graceS >= job.spec.saveS
        if (!saves || phase == Phase.WAITING || phase == Phase.FAILED || phase == Phase.ENDED) return false
        if (phase == Phase.RUNNING) {
            phase = Phase.STOPPING
            firstStopAt = world.now()
            val progress = progressMs()
            val peerTimeoutS = world.settings.workers.peerLossDetectionS
            world.after(maxOf((job.spec.saveS * 1000).toLong(), (peerTimeoutS * 1000).toLong() / 2)) { save(progress) }
            members.values.toList().forEach {
                exitLater(it, peerTimeoutS + job.spec.saveS, TaskEndCause.PEER_LOST) {
                    phase ==
                        Phase.STOPPING
                }
            }
        }
        stoppedTasks.add(task)
        members[task]?.setState(TaskState.SAVING)
        return true
    }

    private fun save(progress: Long) {
        if (phase != Phase.STOPPING || stoppedTasks.size < members.size) return
        phase = Phase.ENDED
        job.savedProgressMs = progress
        members.values.toList().forEach { it.exit(TaskEndCause.HALTED) }
    }

    private companion object {
        const val FAILURE_DELAY_MS = 200L
    }
}

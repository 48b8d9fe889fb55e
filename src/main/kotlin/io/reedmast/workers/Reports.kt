package io.reedmast.workers

import io.reedmast.gangs.GangCoordinator
import io.reedmast.jobs.Placement
import io.reedmast.jobs.ShardState
import io.reedmast.jobs.StopReason
import io.reedmast.ownership.Token
import io.reedmast.wire.Cause
import io.reedmast.wire.Order
import io.reedmast.wire.Report
import io.reedmast.wire.TaskId
import io.reedmast.wire.TaskReport
import io.reedmast.wire.TaskState
import org.slf4j.LoggerFactory

/**
 * What workers' reports prove, and the commands that answer them.
 *
 * Only a report made under our token counts: an older owner's commands may reach the worker until it has seen ours.
 */
class Reports(private val shardState: ShardState, private val commands: Commands, private val gangs: GangCoordinator, private val renewToken: () -> Unit) {
    private val log = LoggerFactory.getLogger("shard")

    /** Takes in a report and gives the commands for its answer. */
    fun checkin(report: Report): List<Order> {
        val machine = shardState.machines[report.host] ?: return emptyList()
        val orders = ArrayList<Order>()
        return if (take(machine, report, checkin = true, orders)) orders else emptyList()
    }

    /** A worker's report that came as the answer to a direct command. */
    fun answered(machine: Machine, report: Report) {
        take(machine, report, checkin = false, ArrayList())
    }

    private fun take(machine: Machine, report: Report, checkin: Boolean, orders: MutableList<Order>): Boolean {
        if (!machine.isNewer(report)) return false
        val now = shardState.clock.now()
        if (report.session > machine.session && machine.everHeard) lostSession(machine, now)
        machine.addr = report.addr
        machine.show(report)
        machine.sequence = report.sequence
        machine.noticeUntil = if (report.noticeS == null) {
            0L
        } else {
            if (machine.noticeUntil == 0L) log.info("{}: the cloud takes it away in {} s", machine.name, report.noticeS)
            now + (report.noticeS * 1000).toLong()
        }
        if (report.token > Token.last(shardState.token)) {
            machine.trusted = false
            renewToken()
            return false
        }
        if (checkin) {
            if (now - machine.answeredAt > shardState.settings.workers.leaseS * 1000 / 2) machine.regularSince = now
            machine.answeredAt = now
        }
        if (report.token < machine.floor) {
            // It may be a late copy from before we owned the shard: it proves neither life nor what is on the machine.
            if (checkin) machine.unheeded++
            return true
        }
        machine.lastHeardAt = now
        machine.everHeard = true
        if (!machine.trusted) {
            machine.trusted = true
            machine.trustedAt = now
            machine.unheeded = 0
            shardState.placeWanted = true
        }
        val listed = HashSet<TaskId>()
        machine.strayCpus = 0.0
        machine.strayGpus = 0.0
        machine.strayMemoryGb = 0.0
        for (reported in report.tasks) {
            val placement = machine.placements[reported.id]
            if (placement != null && placement.attempt == reported.attempt && placement.committed) {
                listed.add(reported.id)
                takeReported(machine, placement, reported, now, orders)
            } else {
                takeStray(machine, reported, orders)
            }
        }
        var ignored = false
        for (placement in machine.placements.values.toList()) {
            if (placement.id in listed || !placement.committed) continue
            if (placement.launchesAnswered > 0 && shardState.fresh()) ignored = true
            takeMissing(machine, placement, report, checkin, orders)
        }
        if (checkin && ignored) machine.unheeded++
        return true
    }

    /**
     * The worker's lease ran out. While its reports came and were answered, that means that our answers do not arrive.
     *
     * A machine that hung, or was cut off, has sent nothing for a whole lease.
     */
    private fun lostSession(machine: Machine, now: Long) {
        val leaseMs = shardState.settings.workers.leaseS * 1000
        if (now - machine.answeredAt < leaseMs / 2 && now - machine.regularSince > leaseMs * MOST_OF_IT) {
            machine.unheeded = maxOf(machine.unheeded, Machine.DEAF_AFTER)
            log.info("{}: its lease ran out although its reports were answered", machine.name)
        }
    }

    private fun takeReported(machine: Machine, placement: Placement, reported: TaskReport, now: Long, orders: MutableList<Order>) {
        placement.seen = true
        placement.launchSession = machine.session
        if (placement.launchesAnswered > 0) {
            placement.launchesAnswered = 0
            machine.unheeded = 0
        }
        when (reported.state) {
            TaskState.FETCHING -> {}

            TaskState.WAITING -> machine.noteImage(placement.job.spec.image, placement.job.spec.imageGb)

            TaskState.RUNNING, TaskState.SAVING -> {
                if (!placement.running) {
                    placement.job.noteRunning(placement, now)
                    machine.noteImage(placement.job.spec.image, placement.job.spec.imageGb)
                }
            }

            TaskState.ENDED -> {
                ended(machine, placement, reported.cause ?: Cause.ERROR, now)
                return
            }
        }
        // An owner before us has begun to stop the gang: its other tasks must be told in time, or nothing is saved.
        if (placement.job.spec.gang && reported.state == TaskState.SAVING) commands.stop(placement, StopReason.DRAINED)
        if (placement.stopReason != null && (reported.state != TaskState.SAVING || placement.stopReason == StopReason.ABORTED)) {
            orders.add(commands.stopOrder(placement))
        }
    }

    private fun ended(machine: Machine, placement: Placement, cause: Cause, now: Long) {
        val job = placement.job
        val done = cause == Cause.DONE && !job.spec.service
        if (cause != Cause.DONE && (cause != Cause.HALTED || placement.stopReason == null)) {
            log.info("{} try {}: ended on {}: {}", placement.id, placement.attempt, machine.name, cause)
        }
        when (cause) {
            Cause.DONE -> {
                machine.failedJobs.clear()
                job.failures = 0
                machine.noteImage(job.spec.image, job.spec.imageGb)
                job.hasSucceeded = true
                job.failedOn.forEach { retireIfSick(it) }
            }

            Cause.ERROR -> if (countsAsFailure(placement)) {
                machine.failedJobs.add(job.spec.jobId)
                // Several tasks that fail together on one machine say no more of the job than one does: counted each, they made
                // a sick machine look like a job with a mistake, and the machine was kept.
                if (job.failedOn.add(machine)) job.failures++
                if (shardState.looksBad(job)) {
                    // It fails wherever it runs: the job has a mistake, and the machines have not.
                    job.failedOn.forEach { it.failedJobs.remove(job.spec.jobId) }
                    job.failedOn.clear()
                    job.notBefore = now + minOf(MAX_RETRY_MS, FIRST_RETRY_MS shl minOf(5, job.failures / 4))
                } else {
                    retireIfSick(machine)
                }
            }

            Cause.NO_ROOM, Cause.BUSY -> {
                job.notBefore = maxOf(job.notBefore, now + REFUSED_RETRY_MS)
            }

            Cause.UNKNOWN -> {
                job.notBefore = maxOf(job.notBefore, now + FIRST_RETRY_MS)
            }

            Cause.HALTED, Cause.PEERS, Cause.ALONE -> {}
        }
        if (job.spec.gang) gangs.ended(placement, cause) else shardState.finish(placement, done)
    }

    /** Several tasks of a gang fail together where the gang has a mistake: that says no more than one failure does. */
    private fun countsAsFailure(placement: Placement): Boolean {
        val job = placement.job
        val first = !job.spec.gang || job.lastFailedAttempt != placement.attempt
        job.lastFailedAttempt = placement.attempt
        return first
    }

    /**
     * Tasks of several jobs failed there since the last success, and one of the jobs is known to run elsewhere. Without that, a
     * few jobs with a mistake that met on one machine had it returned.
     */
    private fun retireIfSick(machine: Machine) {
        if (machine.retirement != null || machine.failedJobs.size < JOBS_FAILED_BY_A_SICK_MACHINE) return
        val now = shardState.clock.now()
        val good = machine.failedJobs.any { jobId ->
            shardState.jobs[jobId]?.let { job -> job.hasSucceeded || job.placements().any { it.running && now - it.runningSince > PROVES_A_JOB_MS } } == true
        }
        if (!good && machine.failedJobs.size < JOBS_FAILED_IN_ANY_CASE) return
        log.info("{}: every task fails there; it is replaced", machine.name)
        machine.retirement = Retirement.SICK
    }

    /** A task on the machine that no placement accounts for. */
    private fun takeStray(machine: Machine, reported: TaskReport, orders: MutableList<Order>) {
        val job = shardState.jobs[reported.id.jobId]
        if (reported.state == TaskState.ENDED) {
            // Once forgotten, the attempt would start again if its launch came late; and its result must be stored first.
            val chunk = job?.takeIf { reported.id.task < it.spec.taskCount }?.chunkOf(reported.id.task)
            val stored = job == null || (!job.ending && chunk != null && chunk.stored)
            if (!stored) return
            if (machine.mayLaunch(reported.id, reported.attempt)) raiseToken(machine) else orders.add(Order.Forget(reported.id, reported.attempt))
            return
        }
        orders.add(Order.Stop(reported.id, reported.attempt, 0.0))
        if (job != null) {
            machine.strayCpus += job.spec.cpus
            machine.strayGpus += job.spec.gpus
            machine.strayMemoryGb += job.spec.memoryGb
        }
    }

    /**
     * Makes earlier direct calls to the worker void, so that their attempts can be forgotten.
     *
     * Calls that were carried out are repeated at times, minutes later: the copy of a launch starts its attempt anew once it
     * is forgotten, wherever the task then runs and even if its job was cancelled. A worker makes a report of a new token
     * no more than once in half a lease, and no call of ours must be on its way that the new token would refuse.
     */
    private fun raiseToken(machine: Machine) {
        val now = shardState.clock.now()
        if (machine.directCalls > 0 || now - machine.raisedAt < shardState.settings.workers.leaseS * 500) return
        val next = shardState.tokenFor(machine) + 1
        if (next > Token.last(shardState.token)) return
        machine.raisedTo = next
        machine.raisedAt = now
    }

    /** A stored placement that the newest report does not list. */
    private fun takeMissing(machine: Machine, placement: Placement, report: Report, checkin: Boolean, orders: MutableList<Order>) {
        val mayLaunch = machine.mayLaunch(placement.id, placement.attempt)
        val sentBefore = placement.launchSession != 0L
        if (sentBefore && placement.launchSession < report.session && !mayLaunch) {
            // A later session: everything of the earlier one was killed, and its launches are refused.
            log.info("{} try {}: lost with a session of {}", placement.id, placement.attempt, machine.name)
            if (placement.stopReason != null || !machine.usable || machine.noticeUntil != 0L || placement.job.spec.gang) {
                shardState.finish(placement, done = false)
                return
            }
            // The worker is back, and has the image. Placed anew, all tasks of a fleet waited for the store's limit and for
            // images after an outage that was longer than the fence.
            placement.job.noteLost(placement)
        }
        if (!checkin) return
        if (placement.stopReason == null) {
            // What runs is answered on through an outage, but nothing starts: its user may have been told that it is cancelled.
            if (shardState.fresh() && gangs.mayLaunch(placement)) launch(placement, report.sequence, orders)
            return
        }
        if (mayLaunch && machine.directCalls > 0) return
        if (mayLaunch) {
            // A direct launch, or a copy of it, may still come. Launched and stopped here, the attempt is known to the worker as ended,
            // and the late launch has no effect.
            launch(placement, report.sequence, orders)
            orders.add(commands.stopOrder(placement))
        } else if (!sentBefore || report.sequence > placement.answeredSequence) {
            shardState.finish(placement, done = false)
        }
    }

    private fun launch(placement: Placement, sequence: Long, orders: MutableList<Order>) {
        placement.launchSession = placement.machine.session
        placement.answeredSequence = sequence
        placement.launchesAnswered++
        orders.add(Order.Launch(placement.id, placement.attempt))
    }

    private companion object {
        const val MOST_OF_IT = 0.8
        const val FIRST_RETRY_MS = 2_000L
        const val MAX_RETRY_MS = 30_000L
        const val REFUSED_RETRY_MS = 500L
        const val JOBS_FAILED_BY_A_SICK_MACHINE = 2
        const val JOBS_FAILED_IN_ANY_CASE = 4
        const val PROVES_A_JOB_MS = 10_000L
    }
}

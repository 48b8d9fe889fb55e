package io.reedmast.scheduling

import io.reedmast.autoscaling.DemandEstimator
import io.reedmast.autoscaling.ScaleInPolicy
import io.reedmast.commands.CommandDispatcher
import io.reedmast.gangs.GangReservations
import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.model.ShardState
import io.reedmast.placement.ServiceHeadroom
import org.slf4j.LoggerFactory

/** Places the shard's waiting tasks on its machines, in passes over all that wait, at a bounded rate. */
class Scheduler(
    private val shardState: ShardState,
    dispatcher: CommandDispatcher,
    demandEstimator: DemandEstimator,
    private val scaleInPolicy: ScaleInPolicy,
) {
    private val log = LoggerFactory.getLogger("shard")
    private val timer = PassTimer()
    private val reservations = GangReservations()
    private val protection = PreemptionProtection(shardState)
    private val preemptionCandidates = PreemptionCandidates(shardState, protection)
    private val placer = JobPlacer(shardState, reservations, TaskBinder(shardState, protection))
    private val underservedJobs = UnderservedJobs(shardState)
    private val preemptor = Preemptor(shardState, dispatcher, demandEstimator, reservations, preemptionCandidates)

    /** Passes made so far, for those who count work. */
    var passCount = 0L
        private set

    /** Makes a pass if something has changed that may let waiting work start, and the last pass is long enough ago. */
    fun runPassIfDue(nowMs: Long) {
        if (!isPassDue(nowMs)) return
        shardState.schedulingPassRequested = false
        timer.recordPass(nowMs)
        passCount++
        runPass(nowMs)
    }

    private fun isPassDue(nowMs: Long): Boolean {
        val mayPlace =
            shardState.schedulingPassRequested && timer.allowsPass(
                nowMs,
            ) && nowMs >= shardState.schedulingPassNotBefore &&
                shardState.isCurrent()
        return mayPlace && (timer.allowsArrayPass(nowMs) || isLatencySensitiveWorkPending())
    }

    private fun isLatencySensitiveWorkPending(): Boolean =
        shardState.jobs.values.any { it.pendingCount > 0 && shardState.urgency.isLatencySensitive(it) }

    /** Funded work before uncharged work, and preemption for what found no machine. */
    private fun runPass(nowMs: Long) {
        val readyJobs = shardState.jobs.values.filter {
            it.pendingCount > 0 && !it.isFinalRecordInFlight &&
                nowMs >= it.placementNotBefore
        }
        if (readyJobs.isEmpty()) return
        val (fundedJobs, bestEffortJobs) = readyJobs.partition { it.spec.priority.isFunded }
        val pass = startPass(nowMs)
        placeWaitingGangs(fundedJobs, pass)
        placeUnderservedJobs(readyJobs, pass)
        placeByFairShare(fundedJobs, pass)
        placeByFairShare(bestEffortJobs, pass)
        logPlacements(pass)
        preemptor.preempt(readyJobs, pass)
    }

    private fun startPass(nowMs: Long): SchedulingPass {
        val machines = candidateMachines(shardState.machines.values, shardState.heartbeatLateMs, nowMs)
        reservations.removeExpired(nowMs)
        reserveForExpectedGangs(machines, nowMs)
        return SchedulingPass(nowMs, shardState.clock.wallTime(), machines, serviceHeadroom(machines, nowMs))
    }

    /** Reserves machines for as many gangs as arrive while capacity for one becomes free, judged by recent arrivals. */
    private fun reserveForExpectedGangs(machines: List<Machine>, nowMs: Long) {
        val arrivals = shardState.jobArrivals.gangs
        while (arrivals.isNotEmpty() &&
            nowMs - arrivals.first().arrivedAt > GANG_ARRIVALS_WINDOW_MS
        ) {
            arrivals.removeFirst()
        }
        val expectedGangs = arrivals.size.toDouble() * GANG_CAPACITY_DELAY_MS / GANG_ARRIVALS_WINDOW_MS
        reservations.reserveForExpectedGangs(arrivals.map { it.spec }, expectedGangs, machines)
    }

    private fun serviceHeadroom(machines: List<Machine>, nowMs: Long): ServiceHeadroom {
        val serviceMachines = machines.filter { it.isPreferredForServices }
        val maxReservedCpus = serviceMachines.sumOf { it.machineType?.cpus ?: 0.0 } * MAX_RESERVED_FRACTION
        val reservedCpus = minOf(scaleInPolicy.serviceReserve(nowMs), maxReservedCpus)
        return ServiceHeadroom(serviceMachines.sumOf { it.freeCpus }, reservedCpus)
    }

    /**
     * Funded gangs within their teams' guarantees that found no machines in an earlier pass come first. All capacity
     * that becomes free would go to an array of some team before there is enough for a gang.
     */
    private fun placeWaitingGangs(fundedJobs: List<Job>, pass: SchedulingPass) {
        val waitingGangs = fundedJobs
            .filter { it.spec.isGang && pass.nowMs - it.waitingSince > PassTimer.PASS_INTERVAL_MS }
            .filter {
                shardState.allowsWholeGang(it) &&
                    shardState.quota.isWithinGuarantee(it.team, it.spec, it.spec.taskCount)
            }
            .sortedWith(compareBy({ it.spec.priority }, { it.waitingSince }))
        for (gang in waitingGangs) {
            if (!placer.placeNext(gang, pass)) reservations.reserve(gang, pass.machines, pass.nowMs)
        }
    }

    private fun placeUnderservedJobs(readyJobs: List<Job>, pass: SchedulingPass) {
        for (job in underservedJobs.select(readyJobs, pass.nowMs)) {
            if (placer.placeNext(job, pass)) underservedJobs.recordTurn(job.team, pass.nowMs)
        }
    }

    private fun placeByFairShare(jobs: List<Job>, pass: SchedulingPass) {
        val queues = FairShareQueues(jobs, queueOrder(shardState), fairShareOrder(shardState, pass.wallMs))
        while (queues.isNotEmpty()) {
            val job = queues.next()
            if (!placer.placeNext(job, pass)) queues.remove(job)
        }
    }

    private fun logPlacements(pass: SchedulingPass) {
        for ((job, count) in pass.placementCounts) log.info("job {}: {} tasks placed", job.spec.jobId, count)
    }

    private companion object {
        /** At most this part of the CPUs of machines with services is headroom for more of them. */
        const val MAX_RESERVED_FRACTION = 0.25
        const val GANG_ARRIVALS_WINDOW_MS = 120_000L

        /** How long it takes, about, until arrays have left enough capacity for a gang. */
        const val GANG_CAPACITY_DELAY_MS = 20_000L
    }
}

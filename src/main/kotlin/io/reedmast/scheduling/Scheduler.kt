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

/** Places the shard's waiting tasks on its machines, in passes over all waiting jobs, at a limited rate. */
class Scheduler(
    private val shardState: ShardState,
    dispatcher: CommandDispatcher,
    demandEstimator: DemandEstimator,
    private val scaleInPolicy: ScaleInPolicy,
) {
    private val log = LoggerFactory.getLogger("shard")
    private val timer = PassTimer()
    private val limitLog = PlacementLimitLog(shardState)
    private val reservations = GangReservations()
    private val protection = PreemptionProtection(shardState)
    private val preemptionCandidates = PreemptionCandidates(shardState, protection)
    private val placer = JobPlacer(shardState, reservations, TaskBinder(shardState, protection))
    private val underservedJobs = UnderservedJobs(shardState)
    private val preemptor = Preemptor(shardState, dispatcher, demandEstimator, reservations, preemptionCandidates)

    /** The number of passes so far, as a measure of the scheduling work done. */
    var passCount = 0L
        private set

    /** Runs a pass if a change may let waiting work start, and the last pass is long enough ago. */
    fun runPassIfDue(nowMs: Long) {
        if (!isPassDue(nowMs)) return
        shardState.schedulingPassRequested = false
        timer.recordPass(nowMs)
        passCount++
        runPass(nowMs)
    }

    private fun isPassDue(nowMs: Long): Boolean {
        val mayPlace =
            shardState.schedulingPassRequested &&
                timer.allowsPass(nowMs) &&
                nowMs >= shardState.schedulingPassNotBefore &&
                shardState.isCurrent()
        return mayPlace && (timer.allowsArrayPass(nowMs) || isLatencySensitiveWorkPending())
    }

    private fun isLatencySensitiveWorkPending(): Boolean =
        shardState.jobs.values.any { it.pendingCount > 0 && shardState.urgency.isLatencySensitive(it) }

    /**
     * Places waiting gangs and underserved jobs, then other funded work before best-effort work (not charged);
     * then preempts other work for what found no machine.
     */
    private fun runPass(nowMs: Long) {
        val readyJobs = shardState.jobs.values.filter {
            it.pendingCount > 0 && !it.isFinalRecordInFlight && nowMs >= it.placementNotBefore
        }
        if (readyJobs.isEmpty()) return
        val (fundedJobs, bestEffortJobs) = readyJobs.partition { it.spec.priority.isFunded }
        val pass = startPass(nowMs)
        placeWaitingGangs(fundedJobs, pass)
        placeUnderservedJobs(readyJobs, pass)
        placeByFairShare(fundedJobs, pass)
        placeByFairShare(bestEffortJobs, pass)
        logPlacements(pass)
        limitLog.record(pass)
        preemptor.preempt(readyJobs, pass)
    }

    private fun startPass(nowMs: Long): SchedulingPass {
        val machines = candidateMachines(shardState.machines.values, shardState.heartbeatLateMs, nowMs)
        reservations.removeExpired(nowMs)
        reserveForExpectedGangs(machines, nowMs)
        return SchedulingPass(nowMs, shardState.clock.wallTime(), machines, serviceHeadroom(machines, nowMs))
    }

    /**
     * Reserves machines for as many gangs as are expected to arrive while capacity for one becomes free, based on
     * recent arrivals.
     */
    private fun reserveForExpectedGangs(machines: List<Machine>, nowMs: Long) {
        val arrivals = shardState.jobArrivals.gangs
        while (arrivals.isNotEmpty() && nowMs - arrivals.first().arrivedAt > GANG_ARRIVALS_WINDOW_MS) {
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
     * Places funded gangs within their teams' guarantees that found no machines in an earlier pass, before any other
     * work. Otherwise all capacity that becomes free would go to arrays of some team before there is enough for a gang.
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
            val job = queues.peek()
            if (!placer.placeNext(job, pass)) queues.remove(job)
        }
    }

    private fun logPlacements(pass: SchedulingPass) {
        for ((job, count) in pass.placementCounts) log.info("job {}: {} placements (1 per gang)", job.spec.jobId, count)
    }

    private companion object {
        /** The maximum fraction of the CPUs of machines with services that is headroom for more services. */
        const val MAX_RESERVED_FRACTION = 0.25
        const val GANG_ARRIVALS_WINDOW_MS = 120_000L

        /** The approximate time until ending arrays have freed enough capacity for a gang. */
        const val GANG_CAPACITY_DELAY_MS = 20_000L
    }
}

package io.reedmast.scheduling

import io.reedmast.autoscaling.DemandEstimator
import io.reedmast.autoscaling.ScaleInPolicy
import io.reedmast.autoscaling.isTooExpensive
import io.reedmast.commands.CommandDispatcher
import io.reedmast.fairshare.PlacementRequest
import io.reedmast.fairshare.PreemptionCandidate
import io.reedmast.fairshare.mayPreempt
import io.reedmast.gangs.GangReservations
import io.reedmast.model.FencingToken
import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.model.Placement
import io.reedmast.model.ShardState
import io.reedmast.model.StopReason
import io.reedmast.placement.ServiceHeadroom
import io.reedmast.placement.isEligible
import io.reedmast.placement.packGang
import io.reedmast.placement.satisfiesZoneRules
import io.reedmast.placement.selectMachine
import io.reedmast.placement.tasksThatFit
import io.reedmast.settings.TeamId
import io.reedmast.wire.MachineType
import org.slf4j.LoggerFactory

/** Queue order, placement and preemption: a pass over all that waits, at a bounded rate. */
class Scheduler(
    private val shardState: ShardState,
    private val dispatcher: CommandDispatcher,
    private val demandEstimator: DemandEstimator,
    private val scaleInPolicy: ScaleInPolicy,
) {
    private val log = LoggerFactory.getLogger("shard")
    private var attempts = 0L
    private var nextPass = 0L
    private var lastPass = 0L
    private val reservations = GangReservations()
    private val keptFromAll = HashMap<TeamId, MutableList<Placement>>()
    private val nextUnderservedAt = HashMap<TeamId, Long>()

    /** Passes made so far, for those who count work. */
    var passes = 0L
        private set

    fun passIfDue(now: Long) {
        if (!shardState.passRequested || now < nextPass || now < shardState.passNotBefore ||
            !shardState.isCurrent()
        ) {
            return
        }
        // Each pass that places something costs puts: tasks of arrays that follow each other on a machine share them.
        if (now < lastPass + ARRAY_PASS_EVERY_MS &&
            shardState.jobs.values.none { it.pendingCount > 0 && shardState.isLatencySensitive(it) }
        ) {
            return
        }
        shardState.passRequested = false
        lastPass = now
        nextPass = now + PASS_EVERY_MS
        passes++
        pass(now)
    }

    /** One attempt at one shape of task: what found no room finds none later in the same pass, since none is freed. */
    private data class Shape(
        val cpus: Double,
        val gpus: Double,
        val memoryGb: Double,
        val spot: Boolean,
        val allowedTypes: List<String>?,
        val zone: String?,
        val late: Boolean,
    )

    /**
     * Funded work before uncharged work; teams within their guarantee first, then by charged use against allocation.
     */
    private fun pass(now: Long) {
        val ready = shardState.jobs.values.filter { it.pendingCount > 0 && !it.ending && now >= it.notBefore }
        if (ready.isEmpty()) return
        val machines = candidates(now)
        reservations.prune(now)
        keepRoomForGangs(machines, now)
        val homes = machines.filter { it.isServiceHome }
        val most = homes.sumOf { it.machineType?.cpus ?: 0.0 } * MAX_RESERVED
        val room = ServiceHeadroom(homes.sumOf { it.freeCpus }, minOf(scaleInPolicy.serviceReserve(now), most))
        val wall = shardState.clock.wall()
        val full = HashSet<Shape>()
        val placed = HashMap<Job, Int>()
        for (job in waitingGangs(ready, now)) {
            if (placeOne(
                    job,
                    machines,
                    room,
                    full,
                    now,
                )
            ) {
                placed.merge(job, 1, Int::plus)
            } else {
                reservations.reserve(job, machines, now)
            }
        }
        for (job in underservedJobs(ready, now)) {
            if (!placeOne(job, machines, room, full, now)) continue
            placed.merge(job, 1, Int::plus)
            nextUnderservedAt[job.team] = now + UNDERSERVED_INTERVAL_MS
        }
        for (funded in listOf(true, false)) {
            val queues =
                ready
                    .filter { it.spec.priority.isFunded == funded }
                    .groupBy { it.team }
                    .mapValuesTo(LinkedHashMap()) { (_, list) -> ArrayDeque(list.sortedWith(queueOrder)) }
            while (queues.isNotEmpty()) {
                val team = first(queues, wall)
                val queue = queues.getValue(team)
                val job = queue.first()
                if (placeOne(job, machines, room, full, now)) placed.merge(job, 1, Int::plus) else queue.removeFirst()
                if (queue.isEmpty()) queues.remove(team)
            }
        }
        for ((job, count) in placed) log.info("job {}: {} tasks placed", job.spec.jobId, count)
        preempt(ready, now, wall)
    }

    /**
     * Within a team: by priority, then what has got nothing for long, of which one task is placed at a time, then by
     * due time.
     */
    private val queueOrder =
        compareBy<Job>({
            it.spec.priority
        }, { !shardState.isUnderserved(it) }, { !it.spec.gang }, { shardState.deadlineMs(it) })

    /**
     * A few jobs of each team that have got nothing for longest, now and then: a team that is always at its limit, or
     * in a full shard, with work of a higher priority or with a large array, would never begin its other jobs.
     */
    private fun underservedJobs(ready: List<Job>, now: Long): List<Job> = ready
        .filter { now >= (nextUnderservedAt[it.team] ?: 0L) && shardState.isUnderserved(it) }
        .groupBy {
            it.team
        }.values.flatMap { jobs ->
            jobs.sortedByDescending { shardState.underservedForMs(it) }.take(MAX_UNDERSERVED_AT_ONCE)
        }

    private fun keepRoomForGangs(machines: List<Machine>, now: Long) {
        val arrivals = shardState.gangArrivals
        while (arrivals.isNotEmpty() && now - arrivals.first().at > GANG_ARRIVALS_MS) arrivals.removeFirst()
        val expected = arrivals.size.toDouble() * ROOM_GATHERED_MS / GANG_ARRIVALS_MS
        reservations.keepForNext(arrivals.map { it.spec }, expected, machines)
    }

    /**
     * Funded gangs within their teams' guarantees that found no room in an earlier pass. Each piece of room that comes
     * free would go to an array of some team before there is enough for a gang.
     */
    private fun waitingGangs(ready: List<Job>, now: Long): List<Job> = ready
        .filter {
            it.spec.gang && it.spec.priority.isFunded && now - it.waitsSince > PASS_EVERY_MS && fitsWithinLimits(it) &&
                shardState.isGangWithinGuarantee(it)
        }
        .sortedWith(compareBy({ it.spec.priority }, { it.waitsSince }))

    private fun fitsWithinLimits(job: Job) = shardState.remainingQuota(job) >= job.spec.taskCount

    private fun first(queues: Map<TeamId, ArrayDeque<Job>>, wall: Long): TeamId {
        if (queues.size == 1) return queues.keys.first()
        return queues.keys.minWith(
            compareBy({ t ->
                !shardState.isWithinGuarantee(t, queues.getValue(t).first().spec)
            }, { t -> shardState.ratio(t, wall) }),
        )
    }

    /**
     * Machines whose report is overdue may be gone or hang; unless most are overdue, which would be this controller's
     * fault.
     */
    private fun candidates(now: Long): List<Machine> {
        val usable = shardState.machines.values.filter { it.usable && it.noticeUntil == 0L }
        val heard = usable.filter { now - it.lastHeartbeatAt <= shardState.heartbeatLateMs }
        return if (heard.size * 2 >= usable.size) heard else usable
    }

    /** True if a task was placed and the job may have another one to place. */
    private fun placeOne(
        job: Job,
        machines: List<Machine>,
        room: ServiceHeadroom,
        full: MutableSet<Shape>,
        now: Long,
    ): Boolean {
        if (job.pendingCount <= 0 || shardState.remainingQuota(job) < 1) return false
        if (job.spec.gang) return placeGang(job, machines, room, now)
        val task = job.nextPending()
        if (task < 0) return false
        val spec = job.spec
        val isStarving = shardState.isStarving(job)
        val late = isStarving || shardState.isPastDeadline(job)
        // Jobs with rules of their own for zones or machines may fail where others of their shape would not.
        val shape = if (spec.oneZone || spec.spread || job.failedOn.isNotEmpty()) {
            null
        } else {
            Shape(spec.cpus, spec.gpus, spec.memoryGb, spec.spot, spec.allowedTypes, spec.zone, late)
        }
        if (shape != null && shape in full) return false
        val open = if (spec.service || isStarving ||
            reservations.isEmpty
        ) {
            machines
        } else {
            machines.filter { !reservations.isKeptFrom(job, it) }
        }
        val machine = selectMachine(job, open, late, isStarving, room, ::isExpensive)
        if (machine == null) {
            if (shape != null) full.add(shape)
            return false
        }
        start(job, task, nextAttempt(), machine, room, now)
        return true
    }

    /** Places all tasks of a gang, under one attempt number, or none. */
    private fun placeGang(job: Job, machines: List<Machine>, room: ServiceHeadroom, now: Long): Boolean {
        if (job.placedCount > 0 || !fitsWithinLimits(job)) return false
        val isStarving = shardState.isStarving(job)
        val late = isStarving || shardState.isPastDeadline(job)
        val assignment = packGang(job, machines) { machine ->
            (isStarving || (machine !in job.failedOn && !reservations.isKeptFrom(job, machine))) &&
                (late || !isTooExpensiveFor(job, machine))
        } ?: return false
        val attempt = nextAttempt()
        var task = 0
        for ((machine, count) in assignment.tasksByMachine) {
            repeat(count) {
                start(job, task++, attempt, machine, room, now)
            }
        }
        return true
    }

    private fun isTooExpensiveFor(job: Job, machine: Machine) =
        job.spec.spot && !machine.record.spot && !machine.held &&
            machine.machineType?.let { isExpensive(it, job) } == true

    private fun nextAttempt(): Long = (FencingToken.acquisitions(shardState.token) shl ATTEMPT_BITS) + ++attempts

    private fun start(job: Job, task: Int, attempt: Long, machine: Machine, room: ServiceHeadroom, now: Long) {
        val placement = Placement(job, task, attempt, machine, now)
        if (shardState.isUnderserved(job)) keep(placement, now)
        if (machine.isServiceHome) room.free -= job.spec.cpus
        shardState.place(placement)
        shardState.markDirty(job.chunkOf(task))
        log.debug("task {} attempt {}: placed on {}", placement.id, attempt, machine.name)
    }

    /** Stopped in the same moment for the work that it was preferred to, the job would get nothing for ever. */
    private fun keep(placement: Placement, now: Long) {
        val until = now + KEPT_MS + (placement.job.spec.estimateS * 1000).toLong()
        placement.keptUntil = until
        val kept = keptFromAll.getOrPut(placement.job.team) { ArrayList() }
        kept.removeIf { now >= it.keptFromAllUntil || it.machine.placements[it.id] !== it }
        // A few at a time: a swarm of uncharged tasks that yield to nothing would hold the room of funded work.
        if (!shardState.isOverdue(placement.job) || kept.size >= MAX_PROTECTED_FROM_ALL) return
        placement.keptFromAllUntil = until
        kept.add(placement)
    }

    private fun isExpensive(machineType: MachineType, job: Job): Boolean =
        job.expensiveTypes.getOrPut(machineType.label) {
            isTooExpensive(machineType, shardState.machineTypes, job.spec.cpus, job.spec.gpus, job.spec.memoryGb)
        }

    /**
     * Stops work for requests that cannot fit otherwise, one machine at a time and never twice for the same request.
     */
    private fun preempt(ready: List<Job>, now: Long, wall: Long) {
        val holding = shardState.machines.values.filter { m ->
            m.usable && m.noticeUntil == 0L &&
                m.placements.values.any { isPreemptable(it) }
        }
        if (holding.isEmpty()) return
        val coming = demandEstimator.bootingCapacity()
        var tries = 0
        for (job in ready) {
            if (!job.spec.priority.isFunded || job.pendingCount <= job.preempting ||
                shardState.remainingQuota(job) <= job.preempting
            ) {
                continue
            }
            if (now - job.waitsSince < preemptAfterMs(job)) continue
            // What only has to be done some time fits on the machines that are on their way; what has to start soon
            // does not.
            if (!shardState.isLatencySensitive(job) && demandEstimator.fitsOnBootingMachines(job, coming)) continue
            if (++tries > MAX_PREEMPTING) break
            val request =
                PlacementRequest(
                    job.spec.priority,
                    shardState.isWithinGuarantee(job.team, job.spec),
                    shardState.ratio(job.team, wall),
                )
            if (job.spec.gang) {
                preemptForGang(job, request, wall)
                continue
            }
            for (machine in holding) {
                if (job.pendingCount <= job.preempting) break
                if (!satisfiesZoneRules(job, machine.record.zone)) continue
                if (!isEligible(job.spec, machine.record.typeName, machine.record.zone, machine.record.spot)) continue
                if (machine.placements.values.any { it.stopReason != null }) continue
                val victims = victims(job, machine, request, wall) ?: continue
                victims.forEach { stopFor(job, it, machine) }
            }
        }
    }

    private fun stopFor(job: Job, victim: Placement, machine: Machine) {
        log.info("task {}: preempted for job {} on {}", victim.id, job.spec.jobId, machine.name)
        dispatcher.stop(victim, StopReason.PREEMPTED)
        job.preempting++
        shardState.preemptedFor[victim] = job
    }

    /** Stops work on the machines that are kept for the gang, if all of it fits there then. */
    private fun preemptForGang(job: Job, request: PlacementRequest, wall: Long) {
        if (job.preempting > 0 || !fitsWithinLimits(job)) return
        val stops = LinkedHashMap<Machine, List<Placement>>()
        var left = job.spec.taskCount
        for (machine in reservations.transferTargetsOf(job)) {
            if (left <= 0) break
            if (!machine.usable || machine.placements.values.any { it.stopReason != null }) continue
            var count = minOf(left, tasksThatFit(job.spec, machine))
            while (count < left) {
                stops[machine] = victims(job, machine, request, wall, count + 1) ?: break
                count++
            }
            left -= count
        }
        if (left > 0) return
        for ((machine, victims) in stops) victims.forEach { stopFor(job, it, machine) }
    }

    /**
     * What fits a little later without stopping anything does not need a victim: tasks end all the time, and each
     * victim loses what it has done. A day of arrays that yielded at once to services stopped a fifth of all tasks.
     */
    private fun preemptAfterMs(job: Job): Long = when {
        job.spec.gang -> GANG_WAITS_MS
        shardState.isLatencySensitive(job) -> (shardState.settings.workers.reportS * 1000).toLong()
        else -> (shardState.settings.workers.reportS * 1000 * ARRAY_WAITS_REPORTS).toLong()
    }

    /** Whether the work yields to anything at all: funded work that cannot resume never does. */
    private fun isPreemptable(placement: Placement) = shardState.clock.now() >= placement.keptFromAllUntil &&
        (!placement.job.spec.priority.isFunded || placement.job.spec.resumable)

    /**
     * Whether the work was preferred to [job], of the same team, for its long wait, and too lately to be stopped for
     * it.
     */
    private fun isKeptFrom(placement: Placement, job: Job) =
        shardState.clock.now() < placement.keptUntil && placement.job.team == job.team

    /**
     * What must be stopped so that [tasks] tasks of [job] fit on the machine; null if that is not allowed or not
     * needed.
     */
    private fun victims(
        job: Job,
        machine: Machine,
        request: PlacementRequest,
        wall: Long,
        tasks: Int = 1,
    ): List<Placement>? {
        var cpus = machine.freeCpus
        var gpus = machine.freeGpus
        var memoryGb = machine.freeMemoryGb
        fun enough() = tasksThatFit(job.spec, cpus, gpus, memoryGb) >= tasks
        val chosen = ArrayList<Placement>()
        val candidates =
            machine.placements.values
                .filter { it.stopReason == null && isPreemptable(it) && !isKeptFrom(it, job) }
                .filter { mayPreempt(runner(it, job, wall), request) }
                .sortedWith(compareBy({ it.job.spec.gang }, { -it.madeAt }))
        for (victim in candidates) {
            if (enough()) break
            chosen.add(victim)
            cpus += victim.job.spec.cpus
            gpus += victim.job.spec.gpus
            memoryGb += victim.job.spec.memoryGb
        }
        return if (enough() && chosen.isNotEmpty()) chosen else null
    }

    private fun runner(placement: Placement, job: Job, wall: Long): PreemptionCandidate {
        val spec = placement.job.spec
        val cap = shardState.tuning.protectCapS
        return PreemptionCandidate(
            priority = spec.priority,
            resumable = spec.resumable,
            sameTeam = placement.job.team == job.team,
            ranForS = (shardState.clock.now() - protectedSince(placement)) / 1000.0,
            minimumS = minOf(cap, if (spec.estimateS > 0) spec.estimateS else cap),
            teamBeyondGuarantee = shardState.isBeyondGuarantee(placement.job.team),
            teamRatio = shardState.ratio(placement.job.team, wall),
        )
    }

    /** A gang does not work before all of it runs. */
    private fun protectedSince(placement: Placement): Long {
        if (!placement.job.spec.gang) return placement.madeAt
        return placement.job.placements().maxOf { if (it.running) it.runningSince else shardState.clock.now() }
    }

    private companion object {
        const val MAX_RESERVED = 0.25
        const val UNDERSERVED_INTERVAL_MS = 250L
        const val MAX_UNDERSERVED_AT_ONCE = 3
        const val MAX_PROTECTED_FROM_ALL = 4
        const val KEPT_MS = 60_000L
        const val ARRAY_WAITS_REPORTS = 4

        /** What ends by itself seldom makes room for all of a gang. */
        const val GANG_WAITS_MS = 1_000L
        const val GANG_ARRIVALS_MS = 120_000L

        /** How long it takes, about, until arrays have left room for a gang. */
        const val ROOM_GATHERED_MS = 20_000L
        const val PASS_EVERY_MS = 100L
        const val ARRAY_PASS_EVERY_MS = 250L
        const val ATTEMPT_BITS = 22
        const val MAX_PREEMPTING = 50
    }
}

package io.reedmast.jobs

import io.reedmast.app.Clock
import io.reedmast.app.Outward
import io.reedmast.fairshare.Request
import io.reedmast.fairshare.Runner
import io.reedmast.fairshare.Usage
import io.reedmast.fairshare.funded
import io.reedmast.fairshare.mayYield
import io.reedmast.fleet.Demand
import io.reedmast.fleet.isDear
import io.reedmast.ownership.SliceRecord
import io.reedmast.peers.Progress
import io.reedmast.placement.allows
import io.reedmast.placement.choose
import io.reedmast.placement.zonesAllow
import io.reedmast.settings.Settings
import io.reedmast.settings.SliceIndex
import io.reedmast.settings.TeamIndex
import io.reedmast.settings.Tuning
import io.reedmast.state.Change
import io.reedmast.state.Fetched
import io.reedmast.state.Guard
import io.reedmast.state.Item
import io.reedmast.state.Keys
import io.reedmast.state.Outcome
import io.reedmast.state.Write
import io.reedmast.wire.Cause
import io.reedmast.wire.Flavor
import io.reedmast.wire.JobSpec
import io.reedmast.wire.MalformedException
import io.reedmast.wire.Order
import io.reedmast.wire.PieceReport
import io.reedmast.wire.PieceStage
import io.reedmast.wire.Reply
import io.reedmast.wire.Report
import io.reedmast.wire.TaskId
import io.reedmast.wire.count
import io.reedmast.wire.map
import io.reedmast.workers.HostRecord
import io.reedmast.workers.LateLaunch
import io.reedmast.workers.Machine
import io.reedmast.workers.Retirement
import org.slf4j.LoggerFactory
import kotlin.math.ceil
import kotlin.math.sqrt

/** Changes to slice records, which their owner asks for and others may make too. */
interface SliceRecords {
    /** Asks for a fresh token: a worker has seen a higher one than ours. */
    fun renewToken(slice: SliceIndex)

    /** The term may have moved on: read the record again. */
    fun refresh(slice: SliceIndex)

    fun removeHosts(slice: SliceIndex, hosts: Set<String>)

    /** Gives an empty machine to the slice that it is marked to leave for. */
    fun handOver(slice: SliceIndex, host: String)
}

/**
 * The work of one slice's owner: its jobs, its machines, and the decisions that join them.
 *
 * All of it runs on the deciding thread. Nothing here guesses: a placement counts from the decision until there is
 * evidence that its attempt is over, and nothing is launched before its placement is stored.
 */
class SliceOwner(
    val index: SliceIndex,
    private val settings: Settings,
    private val tuning: Tuning,
    private val clock: Clock,
    private val out: Outward,
    private val flavors: () -> Collection<Flavor>,
    /** Whether this node has lately heard enough from the state service to act. */
    private val fresh: () -> Boolean,
    private val records: SliceRecords,
) {
    private val log = LoggerFactory.getLogger("slice")
    private val slice = index.value

    var record = SliceRecord("", 0, emptyList(), emptyMap())
        private set
    var term = 0L
        private set
    var active = false
        private set

    /** Set when another owner has taken the slice: answers that still come in are ignored. */
    var dropped = false

    val jobs = LinkedHashMap<String, Job>()
    val machines = LinkedHashMap<String, Machine>()
    val usage = Usage((tuning.windowS * 1000).toLong())
    private val teams = settings.teams.indices.map { TeamIndex(it) }.filter { settings.sliceOf(it) == index }
    private val usedCpus = HashMap<TeamIndex, Double>()
    private val usedGpus = HashMap<TeamIndex, Double>()

    /** What the watch told of jobs while the slice was being read. */
    private val early = LinkedHashMap<String, Pair<RefRecord?, Long>>()
    private val outbox = LinkedHashMap<Machine, MutableList<Order>>()

    /** For whom a placement is being stopped: that many tasks of the job need no other victim. */
    private val preemptedFor = HashMap<Placement, Job>()
    private var attempts = 0L
    private var placeWanted = false
    private var lastCharged = 0L
    private var activeAt = 0L
    private var greetDue = 0L
    private var greeting = false
    private var totalsStamp = 0L
    private var totalsWriting = false
    private var totalsDue = 0L
    private var lastDemand: List<Demand> = emptyList()
    private val arrivals = HashMap<String, MutableList<Long>>()

    // ---- taking over ----------------------------------------------------------------------------------------------

    /** Reads what is stored of the slice; [items] were listed after this owner's token was stored. */
    fun load(record: SliceRecord, term: Long, items: List<Item>, totals: Item?) {
        this.term = term
        sync(record, term)
        totals?.let {
            totalsStamp = it.stamp
            guarded("totals") { usage.load(it.value.map("usage")) }
        }
        val headers = HashMap<String, Job>()
        val prefix = Keys.liveOf(slice)
        val parts = items.filter { it.path.startsWith(prefix) }.map { it.path.removePrefix(prefix).split('/') to it }
        for ((path, item) in parts) {
            if (path.size == 1) {
                guarded(item.path) {
                    val spec = Job.parseSpec(item.value.map("spec"))
                    val team = settings.teamsByName[spec.crew] ?: throw MalformedException("unknown team ${spec.crew}")
                    headers[spec.ref] =
                        Job(spec, team, slice, item.value.count("chunk").toInt(), item.value.count("at"), item.stamp, item.stamp)
                }
            }
        }
        val orphans = ArrayList<Item>()
        for ((path, item) in parts) {
            if (path.size != 2) continue
            val job = headers[path[0]]
            when {
                job == null -> {
                    orphans.add(item)
                }

                path[1] == "x" -> {
                    job.refStamp = item.stamp
                    job.abortStamp = item.stamp
                }

                else -> {
                    guarded(item.path) {
                        job.load(path[1].removePrefix("c").toInt(), item.stamp, item.value) { task, attempt, host ->
                            Placement(job, task, attempt, machineFor(host), clock.now())
                        }
                    }
                }
            }
        }
        headers.values.forEach { job ->
            jobs[job.spec.ref] = job
            job.placements().forEach { count(it, +1) }
            if (job.aborted) stopAll(job)
        }
        // Chunks of jobs that are over: their header went first, with the final state.
        orphans.chunked(settings.stateLimits.opsPerCommit).forEach { group ->
            out.commit(Change(listOf(termGuard()) + group.map { Guard(it.path, it.stamp) }, group.map { Write.Delete(it.path) }) {})
        }
        active = true
        activeAt = clock.now()
        greetDue = activeAt + GREET_AFTER_MS
        lastCharged = clock.now()
        val told = LinkedHashMap(early)
        early.clear()
        told.forEach { (ref, news) -> refChanged(ref, news.first, news.second) }
        placeWanted = true
        log.info("slice {}: took over under token {}: {} jobs, {} machines", slice, record.token, jobs.size, machines.size)
    }

    /** A machine that a stored placement names but the slice does not have any more: kept until it is returned. */
    private fun machineFor(host: String): Machine = machines.getOrPut(host) {
        Machine(HostRecord(host, "", "", false), null, clock.now(), record.token).apply { retirement = Retirement.SILENT }
    }

    private inline fun guarded(what: String, read: () -> Unit) {
        try {
            read()
        } catch (e: MalformedException) {
            log.error("slice {}: stored record {} cannot be read: {}", slice, what, e.message)
        }
    }

    /** Takes up the slice record as it now stands, machines added or marked as leaving included. */
    fun sync(newRecord: SliceRecord, newTerm: Long) {
        if (newTerm < term) return
        record = newRecord
        term = newTerm
        gone.retainAll(newRecord.hosts.mapTo(HashSet()) { it.name })
        for (host in newRecord.hosts) {
            if (host.name in gone) continue
            val known = machines[host.name]
            if (known == null || known.record.build.isEmpty()) {
                machines.remove(host.name)
                val machine = Machine(host, flavorOf(host.build), clock.now(), newRecord.token)
                known?.placements?.values?.toList()?.forEach { old -> adopt(old, machine) }
                machines[host.name] = machine
                log.info("slice {}: has machine {} ({} in {}{})", slice, host.name, host.build, host.yard, if (host.driftwood) ", spot" else "")
            }
        }
        for ((name, machine) in machines) {
            if (name in newRecord.leaving && machine.retirement == null) machine.retirement = Retirement.MOVING
            if (name !in newRecord.leaving && machine.retirement == Retirement.MOVING) machine.retirement = null
        }
        // A machine that has left for another slice left it empty.
        val kept = newRecord.hosts.mapTo(HashSet()) { it.name }
        machines.values.removeIf { it.name !in kept && it.placements.isEmpty() && !it.returning }
        placeWanted = true
    }

    private fun adopt(old: Placement, machine: Machine) {
        val placement = Placement(old.job, old.task, old.attempt, machine, old.madeAt).apply { committed = old.committed }
        old.job.chunkOf(old.task).placements[old.task] = placement
        machine.add(placement)
    }

    private fun flavorOf(build: String): Flavor? = flavors().firstOrNull { it.label == build }

    fun flavorsChanged() {
        for (machine in machines.values) flavorOf(machine.record.build)?.let { machine.flavor = it }
        placeWanted = true
    }

    // ---- jobs -----------------------------------------------------------------------------------------------------

    /** The record under a job's id has changed; null: it was deleted, which never happens to an accepted job. */
    fun refChanged(ref: String, refRecord: RefRecord?, stamp: Long) {
        if (!active) {
            early[ref] = refRecord to stamp
            return
        }
        if (refRecord == null) return
        val job = jobs[ref]
        if (refRecord.final == null) {
            if (job == null && refRecord.spec != null) {
                guarded(ref) {
                    val spec = Job.parseSpec(refRecord.spec)
                    val team = settings.teamsByName[spec.crew] ?: throw MalformedException("unknown team ${spec.crew}")
                    jobs[ref] = Job(spec, team, slice, Job.chunkSizeFor(settings.stateLimits.valueBytes), refRecord.acceptedAtMs, stamp, stamp)
                    if (spec.service) arrivals.getOrPut(spec.lot) { ArrayList() }.add(clock.now())
                    placeWanted = true
                }
            }
        } else if (refRecord.final == FinalStage.ABORTED && job != null && !job.aborted) {
            job.refStamp = stamp
            job.abortStamp = stamp
            log.info("{}: cancelled by its user", ref)
            stopAll(job)
            placeWanted = true
        }
    }

    private fun stopAll(job: Job) {
        for (placement in job.placements().toList()) {
            if (!placement.committed && !job.chunkOf(placement.task).writing) {
                finish(placement, done = false)
            } else {
                stop(placement, StopReason.ABORTED)
            }
        }
    }

    private fun stop(placement: Placement, reason: StopReason) {
        if (placement.stopReason == StopReason.ABORTED || placement.stopReason == reason) return
        placement.stopReason = reason
        log.info("{} try {}: to be stopped on {}: {}", placement.id, placement.attempt, placement.machine.name, reason)
        val machine = placement.machine
        if (placement.committed && machine.trusted && placement.launchTenure == machine.tenure) {
            placement.stopSentAt = clock.now()
            outbox.getOrPut(machine) { ArrayList() }.add(stopOrder(placement))
        }
    }

    private fun stopOrder(placement: Placement): Order.Stop {
        val spec = placement.job.spec
        val mercy = if (placement.stopReason == StopReason.ABORTED || !spec.resumable) 0.0 else spec.stowS + MERCY_SLACK_S
        return Order.Stop(placement.id, placement.attempt, mercy)
    }

    /** There is evidence that the attempt is over. */
    private fun finish(placement: Placement, done: Boolean) {
        val job = placement.job
        preemptedFor.remove(placement)?.let { it.preempting-- }
        job.remove(placement, done)
        count(placement, -1)
        if (placement.machine.placements.isEmpty()) placement.machine.emptySince = clock.now()
        placeWanted = true
    }

    private fun count(placement: Placement, sign: Int) {
        val job = placement.job
        usedCpus.merge(job.team, sign * job.spec.cpus, Double::plus)
        usedGpus.merge(job.team, sign * job.spec.gpus, Double::plus)
    }

    // ---- reports --------------------------------------------------------------------------------------------------

    /**
     * Takes in a report and gives the commands for its answer.
     *
     * Only a report made under our token counts: an older owner's commands may reach the worker until it has seen ours.
     */
    fun checkin(report: Report): List<Order> {
        val machine = machines[report.host] ?: return emptyList()
        val orders = ArrayList<Order>()
        if (!take(machine, report, checkin = true, orders)) return emptyList()
        return orders
    }

    private fun take(machine: Machine, report: Report, checkin: Boolean, orders: MutableList<Order>): Boolean {
        if (!machine.isNewer(report)) return false
        val now = clock.now()
        machine.lastHeardAt = now
        machine.everHeard = true
        machine.addr = report.addr
        machine.tenure = report.tenure
        machine.tally = report.tally
        machine.baton = maxOf(machine.baton, report.baton)
        if (report.warningS != null) {
            if (machine.warningUntil == 0L) log.info("{}: the cloud takes it away in {} s", machine.name, report.warningS)
            machine.warningUntil = now + (report.warningS * 1000).toLong()
        } else {
            machine.warningUntil = 0L
        }
        if (report.baton > record.token) {
            machine.trusted = false
            records.renewToken(index)
            return false
        }
        if (report.baton < machine.floor) return true
        if (!machine.trusted) {
            machine.trusted = true
            placeWanted = true
        }
        val listed = HashMap<TaskId, PieceReport>()
        machine.strayCpus = 0.0
        machine.strayGpus = 0.0
        machine.strayMemGb = 0.0
        for (piece in report.pieces) {
            val placement = machine.placements[piece.id]
            if (placement != null && placement.attempt == piece.attempt && placement.committed) {
                listed[piece.id] = piece
                takePiece(machine, placement, piece, now, orders)
            } else {
                takeStray(machine, piece, orders)
            }
        }
        for (placement in machine.placements.values.toList()) {
            if (placement.id !in listed && placement.committed) takeMissing(machine, placement, report, checkin, orders)
        }
        return true
    }

    private fun takePiece(machine: Machine, placement: Placement, piece: PieceReport, now: Long, orders: MutableList<Order>) {
        placement.seen = true
        placement.launchTenure = machine.tenure
        when (piece.stage) {
            PieceStage.FETCHING -> {}

            PieceStage.RUNNING, PieceStage.SAVING -> {
                if (!placement.running) {
                    placement.runningSince = now
                    machine.noteImage(placement.job.spec.bundle, placement.job.spec.sizeGb)
                }
            }

            PieceStage.ENDED -> {
                ended(machine, placement, piece.cause ?: Cause.ERROR, now)
                return
            }
        }
        if (placement.stopReason != null && (piece.stage != PieceStage.SAVING || placement.stopReason == StopReason.ABORTED)) {
            orders.add(stopOrder(placement))
        }
    }

    private fun ended(machine: Machine, placement: Placement, cause: Cause, now: Long) {
        val job = placement.job
        val done = cause == Cause.DONE && !job.spec.service
        if (cause != Cause.HALTED || placement.stopReason == null) {
            log.info("{} try {}: ended on {}: {}", placement.id, placement.attempt, machine.name, cause)
        }
        when (cause) {
            Cause.DONE -> {
                machine.failedJobs.clear()
                job.failures = 0
                machine.noteImage(job.spec.bundle, job.spec.sizeGb)
            }

            Cause.ERROR -> {
                machine.failedJobs.add(job.spec.ref)
                job.failedOn.add(machine)
                job.failures++
                if (job.failures >= FAILURES_OF_A_BAD_JOB) {
                    // It fails wherever it runs: the job has a mistake, and the machines have not.
                    job.failedOn.forEach { it.failedJobs.remove(job.spec.ref) }
                    job.failedOn.clear()
                    job.notBefore = now + minOf(MAX_RETRY_MS, FIRST_RETRY_MS shl minOf(5, job.failures - FAILURES_OF_A_BAD_JOB))
                } else if (machine.failedJobs.size >= JOBS_FAILED_BY_A_SICK_MACHINE && machine.retirement == null) {
                    log.info("{}: every task fails there; it is replaced", machine.name)
                    machine.retirement = Retirement.SICK
                }
            }

            Cause.NO_ROOM, Cause.BUSY -> {
                job.notBefore = maxOf(job.notBefore, now + REFUSED_RETRY_MS)
            }

            Cause.UNKNOWN -> {
                job.notBefore = maxOf(job.notBefore, now + FIRST_RETRY_MS)
            }

            Cause.HALTED -> {}
        }
        finish(placement, done)
    }

    /** A task on the machine that no placement accounts for. */
    private fun takeStray(machine: Machine, piece: PieceReport, orders: MutableList<Order>) {
        val job = jobs[piece.id.ref]
        if (piece.stage == PieceStage.ENDED) {
            // Once forgotten, the attempt would start again if its launch came late; and its result must be stored first.
            val chunk = job?.takeIf { piece.id.task < it.spec.pieces }?.chunkOf(piece.id.task)
            val stored = job == null || (!job.ending && chunk != null && !chunk.dirty && !chunk.writing)
            if (stored && !machine.mayLaunch(piece.id, piece.attempt)) orders.add(Order.Forget(piece.id, piece.attempt))
            return
        }
        orders.add(Order.Stop(piece.id, piece.attempt, 0.0))
        if (job != null) {
            machine.strayCpus += job.spec.cpus
            machine.strayGpus += job.spec.gpus
            machine.strayMemGb += job.spec.memGb
        }
    }

    /** A stored placement that the newest report does not list. */
    private fun takeMissing(machine: Machine, placement: Placement, report: Report, checkin: Boolean, orders: MutableList<Order>) {
        val mayLaunch = machine.mayLaunch(placement.id, placement.attempt)
        val sentBefore = placement.launchTenure != 0L
        if (sentBefore && placement.launchTenure < report.tenure && !mayLaunch) {
            // A later session: everything of the earlier one was killed, and its launches are refused.
            log.info("{} try {}: lost with a session of {}", placement.id, placement.attempt, machine.name)
            finish(placement, done = false)
            return
        }
        if (!checkin) return
        if (placement.stopReason == null) {
            launch(placement, report.tally, orders)
            return
        }
        if (machine.inFlight.containsKey(placement.id to placement.attempt)) return
        if (mayLaunch) {
            // An unanswered launch may still come. Launched and stopped here, the attempt is known to the worker as ended,
            // and the late launch has no effect.
            launch(placement, report.tally, orders)
            orders.add(stopOrder(placement))
        } else if (!sentBefore || report.tally > placement.answeredTally) {
            finish(placement, done = false)
        }
    }

    private fun launch(placement: Placement, tally: Long, orders: MutableList<Order>) {
        placement.launchTenure = placement.machine.tenure
        placement.answeredTally = tally
        orders.add(Order.Launch(placement.id, placement.attempt))
    }

    // ---- direct commands ------------------------------------------------------------------------------------------

    /** Sends what has gathered for the workers. Launches also go out with the next answers, so none of this must arrive. */
    private fun sendDirect() {
        if (outbox.isEmpty()) return
        val batches = LinkedHashMap(outbox)
        outbox.clear()
        for ((machine, orders) in batches) {
            val addr = machine.addr
            if (!machine.trusted || addr == null || machine.directCalls >= MAX_DIRECT_CALLS || !fresh()) continue
            val token = record.token
            val tenure = machine.tenure
            val launches = orders.filterIsInstance<Order.Launch>()
            for (order in launches) {
                machine.inFlight.merge(order.id to order.attempt, 1, Int::plus)
                machine.placements[order.id]?.takeIf { it.attempt == order.attempt }?.launchTenure = tenure
            }
            machine.directCalls++
            out.direct(addr, token, tenure, orders) { reply ->
                machine.directCalls--
                for (order in launches) {
                    machine.inFlight.computeIfPresent(order.id to order.attempt) { _, n -> if (n > 1) n - 1 else null }
                    if (reply is Reply.Unanswered) machine.noteLate(order.id, order.attempt, LateLaunch(tenure, token))
                }
                if (reply is Reply.Answer && !dropped && (reply.status == 200 || reply.status == 409)) {
                    guarded("answer of ${machine.name}") { take(machine, Report.parse(reply.body), checkin = false, ArrayList()) }
                    settle()
                }
            }
        }
    }

    /**
     * Shows our token to machines that have not reported since the slice was taken.
     *
     * Their workers may still report to the old owner, which answers them as long as it does not know better; having seen
     * our token they drop its answers, and its commands reach them no more.
     */
    private fun greet(now: Long) {
        if (greetDue == 0L || now < greetDue || greeting) return
        if (machines.values.none { toGreet(it) }) {
            if (now - activeAt > GREET_FOR_MS) greetDue = 0L
            return
        }
        greeting = true
        greetDue = now + GREET_EVERY_MS
        out.listHosts { hosts ->
            greeting = false
            if (dropped) return@listHosts
            for (host in hosts.orEmpty()) {
                val machine = machines[host.name]?.takeIf { toGreet(it) } ?: continue
                val addr = host.addr ?: continue
                greet(machine, addr, machine.tenure, again = true)
            }
        }
    }

    private fun toGreet(machine: Machine) = !machine.trusted && machine.retirement == null && machine.placements.isNotEmpty()

    private fun greet(machine: Machine, addr: String, tenure: Long, again: Boolean) {
        out.direct(addr, record.token, tenure, emptyList()) { reply ->
            if (dropped || reply !is Reply.Answer || (reply.status != 200 && reply.status != 409)) return@direct
            guarded("answer of ${machine.name}") {
                val report = Report.parse(reply.body)
                take(machine, report, checkin = false, ArrayList())
                // Refused for its session, which the answer tells.
                if (again && report.baton < record.token) greet(machine, addr, report.tenure, again = false)
            }
            settle()
        }
    }

    // ---- deciding -------------------------------------------------------------------------------------------------

    /** Brings decisions, stored records and commands up to date after something has changed. */
    fun settle() {
        if (!active || dropped) return
        if (placeWanted && fresh()) {
            placeWanted = false
            place()
        }
        flush()
        sendDirect()
    }

    private fun ratio(team: TeamIndex, nowMs: Long): Double {
        val share = settings.teams[team.value]
        val allocated = if (share.cpus > 0) share.cpus else share.gpus
        // What runs now counts for the next minute too, so that a burst of decisions sees its own effect.
        val soon = (usedCpus[team] ?: 0.0) * LOOKAHEAD_S
        return if (allocated <= 0.0) Double.MAX_VALUE else (usage.within(team, nowMs) + soon) / (allocated * tuning.windowS)
    }

    private fun within(team: TeamIndex, spec: JobSpec): Boolean {
        val share = settings.teams[team.value]
        return (usedCpus[team] ?: 0.0) + spec.cpus <= share.cpus + Machine.EPSILON &&
            (spec.gpus == 0.0 || (usedGpus[team] ?: 0.0) + spec.gpus <= share.gpus + Machine.EPSILON)
    }

    /** How many more tasks of this shape the team's limit allows. */
    private fun allowance(job: Job): Int {
        val share = settings.teams[job.team.value]
        var most = Int.MAX_VALUE
        if (share.maxCpus > 0 && job.spec.cpus > 0) {
            most = minOf(most, ((share.maxCpus - (usedCpus[job.team] ?: 0.0) + Machine.EPSILON) / job.spec.cpus).toInt())
        }
        if (share.maxGpus > 0 && job.spec.gpus > 0) {
            most = minOf(most, ((share.maxGpus - (usedGpus[job.team] ?: 0.0) + Machine.EPSILON) / job.spec.gpus).toInt())
        }
        return maxOf(0, most)
    }

    private fun dueMs(job: Job): Long {
        val spec = job.spec
        val due = spec.dueS ?: settings.objectives.firstOrNull { it.kind == "finished" && it.lot == spec.lot }?.withinS
        return if (due == null) job.acceptedAtMs else job.acceptedAtMs + (due * 1000).toLong()
    }

    private fun late(job: Job): Boolean = clock.wall() > dueMs(job) + if (job.spec.dueS == null) LATE_WITHOUT_DUE_MS else 0L

    private fun dear(flavor: Flavor, spec: JobSpec): Boolean = isDear(flavor, flavors(), spec.cpus, spec.gpus, spec.memGb)

    /** Funded work before uncharged work; teams within their guarantee first, then by charged use against allocation. */
    private fun place() {
        val now = clock.now()
        val wall = clock.wall()
        val ready = jobs.values.filter { it.waitingCount > 0 && !it.ending && now >= it.notBefore }
        for (funded in listOf(true, false)) {
            val queues =
                ready
                    .filter { it.spec.rank.funded == funded }
                    .groupBy { it.team }
                    .mapValues { (_, list) -> ArrayDeque(list.sortedWith(compareBy({ it.spec.rank }, { dueMs(it) }))) }
                    .toMutableMap()
            while (queues.isNotEmpty()) {
                val team =
                    queues.keys.minWith(
                        compareBy({ t -> queues.getValue(t).first().let { !within(t, it.spec) } }, { t -> ratio(t, wall) }),
                    )
                val queue = queues.getValue(team)
                val job = queue.first()
                if (!placeOne(job, now)) queue.removeFirst()
                if (queue.isEmpty()) queues.remove(team)
            }
        }
        preempt(ready, wall)
    }

    /** True if a task was placed and the job may have another one to place. */
    private fun placeOne(job: Job, now: Long): Boolean {
        if (job.waitingCount <= 0 || allowance(job) < 1) return false
        val task = job.nextWaiting()
        if (task < 0) return false
        val machine = choose(job, machines.values, late(job), ::dear) ?: return false
        val attempt = (record.token shl ATTEMPT_BITS) + ++attempts
        val placement = Placement(job, task, attempt, machine, now)
        job.add(placement)
        count(placement, +1)
        log.info("{} try {}: placed on {}", placement.id, attempt, machine.name)
        return true
    }

    /** Stops work for requests that cannot fit otherwise, one machine at a time and never twice for the same request. */
    private fun preempt(ready: List<Job>, wall: Long) {
        val coming = coming()
        for (job in ready) {
            if (!job.spec.rank.funded || job.waitingCount <= job.preempting || allowance(job) <= job.preempting) continue
            // What only has to be done some time fits on the machines that are on their way; what has to start soon does not.
            if (!job.startsSoon() && coming.takeAll(job)) continue
            val request = Request(job.spec.rank, within(job.team, job.spec), ratio(job.team, wall))
            for (machine in machines.values) {
                if (job.waitingCount <= job.preempting) break
                if (!machine.usable || machine.warningUntil != 0L || !zonesAllow(job, machine.record.yard)) continue
                if (!allows(job.spec, machine.record.build, machine.record.yard, machine.record.driftwood)) continue
                if (machine.placements.values.any { it.stopReason != null }) continue
                val victims = victims(job, machine, request, wall) ?: continue
                for (victim in victims) {
                    log.info("{}: yields to {} on {}", victim.id, job.spec.ref, machine.name)
                    stop(victim, StopReason.PREEMPTED)
                    job.preempting++
                    preemptedFor[victim] = job
                }
            }
        }
    }

    private fun Job.startsSoon() = spec.service || settings.objectives.any { it.kind == "wait" && it.lot == spec.lot }

    /** The room of machines that have not come up yet. */
    private fun coming(): List<Room> = machines.values
        .filter { !it.trusted && it.retirement == null && it.flavor != null }
        .map { Room(it.record, it.freeCpus, it.freeGpus, it.freeMemGb) }

    private fun List<Room>.takeAll(job: Job): Boolean {
        repeat(minOf(job.waitingCount, allowance(job))) {
            (firstOrNull { it.fits(job.spec) } ?: return false).take(job.spec)
        }
        return true
    }

    private fun victims(job: Job, machine: Machine, request: Request, wall: Long): List<Placement>? {
        var cpus = machine.freeCpus
        var gpus = machine.freeGpus
        var memGb = machine.freeMemGb
        val chosen = ArrayList<Placement>()
        val candidates =
            machine.placements.values
                .filter { it.stopReason == null && mayYield(runner(it, job, wall), request) }
                .sortedByDescending { it.madeAt }
        for (victim in candidates) {
            if (cpus + Machine.EPSILON >= job.spec.cpus && gpus + Machine.EPSILON >= job.spec.gpus && memGb + Machine.EPSILON >= job.spec.memGb) break
            chosen.add(victim)
            cpus += victim.job.spec.cpus
            gpus += victim.job.spec.gpus
            memGb += victim.job.spec.memGb
        }
        val enough = cpus + Machine.EPSILON >= job.spec.cpus && gpus + Machine.EPSILON >= job.spec.gpus && memGb + Machine.EPSILON >= job.spec.memGb
        return if (enough && chosen.isNotEmpty()) chosen else null
    }

    private fun runner(placement: Placement, job: Job, wall: Long): Runner {
        val spec = placement.job.spec
        val share = settings.teams[placement.job.team.value]
        return Runner(
            rank = spec.rank,
            resumable = spec.resumable,
            sameTeam = placement.job.team == job.team,
            ranForS = (clock.now() - placement.madeAt) / 1000.0,
            minimumS = minOf(tuning.protectCapS, if (spec.guessS > 0) spec.guessS else tuning.protectCapS),
            teamBeyondGuarantee = (usedCpus[placement.job.team] ?: 0.0) > share.cpus + Machine.EPSILON,
            teamRatio = ratio(placement.job.team, wall),
        )
    }

    // ---- storing --------------------------------------------------------------------------------------------------

    private fun termGuard() = Guard(Keys.slice(slice), term)

    /** Stores whatever differs from what is stored. */
    private fun flush() {
        for (job in jobs.values.toList()) {
            if (job.ending) continue
            val over = job.aborted || (!job.spec.service && job.doneCount == job.spec.pieces)
            if (over && job.placedCount == 0) {
                if (job.chunks.none { it != null && it.writing }) end(job)
                continue
            }
            for (chunk in job.chunks) {
                if (chunk != null && chunk.dirty && !chunk.writing) store(job, chunk)
            }
        }
    }

    private fun store(job: Job, chunk: Chunk) {
        val path = Keys.chunk(slice, job.spec.ref, chunk.index)
        val included = chunk.placements.values.toList()
        chunk.dirty = false
        chunk.writing = true
        val guards = listOf(termGuard(), Guard(Keys.ref(job.spec.ref), job.refStamp), Guard(path, chunk.stamp))
        out.commit(
            Change(guards, listOf(Write.Put(path, chunk.toFields()))) { outcome ->
                chunk.writing = false
                if (dropped) return@Change
                when (outcome) {
                    is Outcome.Applied -> {
                        chunk.stamp = outcome.epoch
                        included.forEach { if (!it.committed) stored(it) }
                    }

                    is Outcome.Conflict -> {
                        chunk.dirty = true
                        conflict(job, outcome.failed)
                    }

                    is Outcome.Refused -> {
                        log.error("{}: the state service refuses its record: {}", path, outcome.reason)
                        included.forEach { if (!it.committed) finish(it, done = false) }
                        job.notBefore = clock.now() + MAX_RETRY_MS
                    }
                }
                settle()
            },
        )
    }

    /** A placement is now in the state service, and may be launched. */
    private fun stored(placement: Placement) {
        placement.committed = true
        val machine = placement.machine
        if (placement.job.chunkOf(placement.task).placements[placement.task] !== placement) return
        if (placement.job.aborted) stop(placement, StopReason.ABORTED)
        if (placement.stopReason == null && machine.trusted) {
            outbox.getOrPut(machine) { ArrayList() }.add(Order.Launch(placement.id, placement.attempt))
        } else if (placement.stopReason != null && placement.launchTenure == 0L) {
            finish(placement, done = false)
        }
    }

    /** Something had moved on: the term (then the watch or a read tells), or the job was ended by its user. */
    private fun conflict(job: Job, failed: Set<String>) {
        if (Keys.ref(job.spec.ref) in failed) {
            out.get(Keys.ref(job.spec.ref)) { fetched ->
                if (dropped) return@get
                if (fetched is Fetched.Found) {
                    guarded(fetched.item.path) { refChanged(job.spec.ref, RefRecord.parse(fetched.item.value), fetched.item.stamp) }
                }
                settle()
            }
        }
        if (Keys.slice(slice) in failed) records.refresh(index)
    }

    /** Stores the end of a job: its final state, and nothing more among the unfinished. */
    private fun end(job: Job) {
        job.ending = true
        val ref = job.spec.ref
        val guards = arrayListOf(termGuard())
        val writes = ArrayList<Write>()
        if (!job.aborted) {
            guards.add(Guard(Keys.ref(ref), job.refStamp))
            writes.add(Write.Put(Keys.ref(ref), RefRecord(slice, job.spec.pieces, FinalStage.DONE, null, job.acceptedAtMs).toFields()))
        } else {
            guards.add(Guard(Keys.abortMark(slice, ref), job.abortStamp))
            writes.add(Write.Delete(Keys.abortMark(slice, ref)))
        }
        guards.add(Guard(Keys.live(slice, ref), job.liveStamp))
        writes.add(Write.Delete(Keys.live(slice, ref)))
        val chunks = job.chunks.filterNotNull().filter { it.stamp != 0L }
        val now = chunks.take(settings.stateLimits.opsPerCommit - writes.size)
        for (chunk in now) {
            guards.add(Guard(Keys.chunk(slice, ref, chunk.index), chunk.stamp))
            writes.add(Write.Delete(Keys.chunk(slice, ref, chunk.index)))
        }
        out.commit(
            Change(guards, writes) { outcome ->
                if (dropped) return@Change
                when (outcome) {
                    is Outcome.Applied -> {
                        jobs.remove(ref)
                        log.info("{}: {}", ref, if (job.aborted) "cleared away" else "done")
                        chunks.drop(now.size).chunked(settings.stateLimits.opsPerCommit).forEach { rest ->
                            val paths = rest.map { Guard(Keys.chunk(slice, ref, it.index), it.stamp) }
                            out.commit(Change(listOf(termGuard()) + paths, paths.map { Write.Delete(it.path) }) {})
                        }
                    }

                    is Outcome.Conflict -> {
                        job.ending = false
                        conflict(job, outcome.failed)
                    }

                    is Outcome.Refused -> {
                        log.error("{}: the state service refuses the end of the job: {}", ref, outcome.reason)
                        job.ending = false
                    }
                }
                settle()
            },
        )
    }

    // ---- time -----------------------------------------------------------------------------------------------------

    /** Called about four times a second. */
    fun tick() {
        if (!active || dropped) return
        val now = clock.now()
        charge(now)
        greet(now)
        watchMachines(now)
        sendReturns()
        if (jobs.values.any { it.waitingCount > 0 && it.notBefore in 1..now }) placeWanted = true
        if (gone.isNotEmpty()) records.removeHosts(index, gone)
        writeTotals(now)
        settle()
    }

    private fun charge(now: Long) {
        val seconds = (now - lastCharged) / 1000.0
        if (seconds < CHARGE_EVERY_S) return
        lastCharged = now
        val wall = clock.wall()
        for (job in jobs.values) {
            if (!job.spec.rank.funded) continue
            var sum = 0.0
            for (placement in job.placements()) {
                val flavor = placement.machine.flavor ?: continue
                if (!placement.seen) continue
                sum += charge(job.spec, flavor)
            }
            if (sum > 0) usage.charge(job.team, sum * seconds, wall)
        }
    }

    /** The largest share of the machine, in that machine's CPUs, so that machines of different sizes add up. */
    private fun charge(spec: JobSpec, flavor: Flavor): Double {
        val share =
            maxOf(
                if (flavor.cpus > 0) spec.cpus / flavor.cpus else 0.0,
                if (flavor.gpus > 0) spec.gpus / flavor.gpus else 0.0,
                if (flavor.memGb > 0) spec.memGb / flavor.memGb else 0.0,
            )
        return share * flavor.cpus
    }

    /** When this node last was unable to answer workers or to decide: silence before that says nothing. */
    private var deafUntil = 0L

    private fun watchMachines(now: Long) {
        if (!fresh()) {
            // Workers are turned away during a long outage; after one, all of them would seem to have been silent.
            deafUntil = now
            return
        }
        val reportMs = settings.workers.reportS * 1000
        val silentAfter = (reportMs * SILENT_REPORTS).toLong()
        val heard = machines.values.filter { it.everHeard }
        val silent = heard.filter { now - maxOf(it.lastHeardAt, activeAt + silentAfter / 2, deafUntil + silentAfter) > silentAfter }
        // If most machines are silent at once, it is rather this node that hears nothing.
        val patience = if (silent.size * 2 > heard.size && heard.size > 1) (settings.workers.leaseS * 1000).toLong() else 0L
        for (machine in silent) {
            if (now - maxOf(machine.lastHeardAt, activeAt) > silentAfter + patience && machine.retirement == null) {
                log.info("{}: silent for {} s; it is replaced", machine.name, (now - machine.lastHeardAt) / 1000)
                machine.retirement = Retirement.SILENT
            }
        }
        for (machine in machines.values.toList()) {
            if (!machine.everHeard && machine.retirement == null) {
                val flavor = machine.flavor ?: continue
                if (now - machine.firstSeenAt > (flavor.startupS * LOST_BOOT_FACTOR + LOST_BOOT_S) * 1000) {
                    log.info("{}: has not come up in {} s; it is replaced", machine.name, (now - machine.firstSeenAt) / 1000)
                    machine.retirement = Retirement.NEVER_CAME
                }
            }
            val warning = machine.warningUntil
            if (warning != 0L) drain(machine, warning, now)
            when (machine.retirement) {
                null -> if (idle(machine, now)) retireIdle(machine)
                Retirement.SILENT, Retirement.NEVER_CAME -> giveBack(machine)
                Retirement.SICK -> if (machine.placements.isEmpty() || now - machine.lastHeardAt > silentAfter) giveBack(machine) else drainSick(machine)
                Retirement.IDLE, Retirement.NOTICE -> if (machine.placements.isEmpty()) giveBack(machine) else machine.retirement = null
                Retirement.MOVING -> {
                    if (machine.placements.isEmpty() && machine.inFlight.isEmpty()) records.handOver(index, machine.name)
                    if (now - machine.lastHeardAt > silentAfter * 2 && machine.everHeard) machine.retirement = Retirement.SILENT
                }
            }
        }
    }

    private fun drainSick(machine: Machine) {
        machine.placements.values.toList().forEach { stop(it, StopReason.DRAINED) }
    }

    private fun drain(machine: Machine, warningUntil: Long, now: Long) {
        val left = (warningUntil - now) / 1000.0
        for (placement in machine.placements.values.toList()) {
            if (placement.stopReason != null) continue
            val spec = placement.job.spec
            val ranS = if (placement.running) (now - placement.runningSince) / 1000.0 else 0.0
            val finishes = !spec.service && placement.running && spec.guessS - ranS < left - 1.0
            val lastMoment = left < (if (spec.resumable) spec.stowS + DRAIN_SLACK_S else 0.0)
            if (spec.service || !placement.running || lastMoment || (!spec.resumable && !finishes)) stop(placement, StopReason.DRAINED)
        }
    }

    private fun idle(machine: Machine, now: Long): Boolean =
        machine.placements.isEmpty() && machine.everHeard && now - machine.emptySince > patience(machine) &&
            now - activeAt > patience(machine) && !spareNeeded(machine, now)

    /**
     * How long an empty machine is kept, in milliseconds.
     *
     * What is lost with it is its boot and its images; a boot is partly hidden, since machines are rented as work comes.
     * Spot machines cost a fraction, and are kept longer by the same measure.
     */
    private fun patience(machine: Machine): Double {
        val flavor = machine.flavor ?: return 0.0
        val image = if (jobs.isEmpty()) 0.0 else jobs.values.sumOf { it.spec.sizeGb } / jobs.size
        val ordinary = tuning.idleS ?: maxOf(flavor.startupS * BOOT_WORTH + image / flavor.pullGbPerS, settings.workers.reportS * KEPT_REPORTS)
        return ordinary * 1000 * if (machine.record.driftwood) SPOT_PATIENCE else 1.0
    }

    /** Whether the slice would have too little free room for the services that arrive while a machine boots. */
    private fun spareNeeded(machine: Machine, now: Long): Boolean {
        val wanted = headroom(now)
        if (wanted <= 0.0 || machine.record.driftwood) return false
        val others = machines.values.filter { it !== machine && it.usable && !it.record.driftwood }.sumOf { it.freeCpus }
        return others < wanted
    }

    /** Expected CPUs of the services that arrive within a boot, with two deviations on top. */
    fun headroom(now: Long): Double {
        val boot = machines.values.mapNotNull { it.flavor?.startupS }.minOrNull() ?: return 0.0
        var sum = 0.0
        for ((lot, times) in arrivals) {
            times.removeIf { now - it > ARRIVALS_WINDOW_MS }
            val size = jobs.values.firstOrNull { it.spec.lot == lot }?.spec ?: continue
            val expected = times.size * boot * 1000.0 / ARRIVALS_WINDOW_MS
            sum += (expected + 2 * sqrt(expected)) * size.cpus * size.pieces
        }
        return sum
    }

    private fun retireIdle(machine: Machine) {
        log.info("{}: empty for {} s; it is returned", machine.name, (clock.now() - machine.emptySince) / 1000)
        machine.retirement = Retirement.IDLE
        giveBack(machine)
    }

    /** Returns a machine. Only the cloud's answer is evidence that what was on it is gone. */
    private fun giveBack(machine: Machine) {
        if (machine.returning || !fresh()) return
        machine.returning = true
        toReturn.add(machine)
    }

    /**
     * One call for all machines that are to go, and one call at a time.
     *
     * A call for each made silent machines wait, with the replicas on them, behind idle ones for this node's part of the
     * cloud's limit.
     */
    private fun sendReturns() {
        if (returnInFlight || toReturn.isEmpty() || !fresh()) return
        val leaving = toReturn.take(MOST_RETURNED)
        toReturn.removeAll(leaving.toSet())
        returnInFlight = true
        out.giveBack(leaving.map { it.name }) { confirmed ->
            returnInFlight = false
            if (dropped) return@giveBack
            leaving.forEach { if (confirmed) returned(it) else it.returning = false }
            if (confirmed) records.removeHosts(index, gone)
            settle()
        }
    }

    /** The cloud has confirmed that the machine and all that was on it are gone. */
    private fun returned(machine: Machine) {
        machine.placements.values.toList().forEach {
            log.info("{} try {}: gone with {}", it.id, it.attempt, machine.name)
            finish(it, done = false)
        }
        jobs.values.forEach { it.failedOn.remove(machine) }
        machines.remove(machine.name)
        if (record.hosts.any { it.name == machine.name }) gone.add(machine.name)
    }

    private val toReturn = LinkedHashSet<Machine>()
    private var returnInFlight = false

    /** Hosts that are returned but may still stand in the slice record. */
    private val gone = HashSet<String>()

    // ---- what the leader needs to know ------------------------------------------------------------------------------

    fun demand(): List<Demand> {
        val room = coming()
        val shapes = LinkedHashMap<Demand, Int>()
        val excess = excess()
        val left = HashMap<TeamIndex, Double>()
        for (job in jobs.values.sortedBy { it.spec.rank }) {
            if (job.waitingCount <= 0 || job.ending || job.failures >= FAILURES_OF_A_BAD_JOB) continue
            val spec = job.spec
            var tasks = minOf(job.waitingCount, allowance(job))
            val share = settings.teams[job.team.value]
            if (share.maxCpus > 0 && spec.cpus > 0) {
                val cpus = left.getOrPut(job.team) { share.maxCpus - (usedCpus[job.team] ?: 0.0) }
                tasks = minOf(tasks, (cpus / spec.cpus + Machine.EPSILON).toInt())
                left[job.team] = cpus - tasks * spec.cpus
            }
            while (tasks > 0) {
                val place = room.firstOrNull { it.fits(spec) } ?: break
                place.take(spec)
                tasks--
            }
            if (!spec.service) tasks = ceil(tasks * excess).toInt()
            if (tasks > 0) {
                val shape = Demand(spec.cpus, spec.gpus, spec.memGb, spec.driftwood, spec.builds, spec.yard, late(job), 0)
                shapes.merge(shape, tasks, Int::plus)
            }
        }
        return shapes.map { (shape, n) -> shape.copy(count = n) }
    }

    /**
     * The part of the waiting array work that the slice's machines would not get through while a new machine boots.
     *
     * Run times are the owners' estimates; work that would be over before a machine is up is not worth one.
     */
    private fun excess(): Double {
        var work = 0.0
        var running = 0.0
        for (job in jobs.values) {
            if (job.spec.service) continue
            work += job.waitingCount * job.spec.cpus * job.spec.guessS
            running += job.placedCount * job.spec.cpus
        }
        if (work <= 0.0) return 1.0
        val boot = machines.values.mapNotNull { it.flavor?.startupS }.minOrNull() ?: return 1.0
        return maxOf(0.0, 1.0 - running * boot / work)
    }

    private class Room(val host: HostRecord, var cpus: Double, var gpus: Double, var memGb: Double) {
        fun fits(spec: JobSpec) = allows(spec, host.build, host.yard, host.driftwood) && spec.cpus <= cpus + Machine.EPSILON &&
            spec.gpus <= gpus + Machine.EPSILON && spec.memGb <= memGb + Machine.EPSILON

        fun take(spec: JobSpec) {
            cpus -= spec.cpus
            gpus -= spec.gpus
            memGb -= spec.memGb
        }
    }

    /** Team totals and demand, every few seconds, and at once when demand has changed. */
    private fun writeTotals(now: Long) {
        val demand = demand()
        val changed = demand != lastDemand && now >= totalsDue - (tuning.totalsS * 1000).toLong() + MIN_TOTALS_MS
        if (totalsWriting || (now < totalsDue && !changed)) return
        lastDemand = demand
        totalsDue = now + (tuning.totalsS * 1000).toLong()
        totalsWriting = true
        val wall = clock.wall()
        val value =
            mapOf(
                "term" to term,
                "usage" to usage.toFields(teams),
                "ratio" to (teams.filter { t -> jobs.values.any { it.team == t && it.waitingCount > 0 } }.minOfOrNull { ratio(it, wall) } ?: 0.0),
                "demand" to demand.take(MAX_SHAPES).map { it.toFields() },
                "idle" to machines.values.filter { canMove(it, now) }.map { it.name },
            )
        val path = Keys.totals(slice)
        out.commit(
            Change(listOf(termGuard(), Guard(path, totalsStamp)), listOf(Write.Put(path, value))) { outcome ->
                totalsWriting = false
                if (dropped) return@Change
                if (outcome is Outcome.Applied) totalsStamp = outcome.epoch
                if (outcome is Outcome.Conflict) {
                    if (Keys.slice(slice) in outcome.failed) records.refresh(index)
                    if (path in outcome.failed) out.get(path) { if (it is Fetched.Found) totalsStamp = it.item.stamp }
                }
            },
        )
    }

    /** Empty for a while and not kept for services, or still booting while nothing waits. */
    private fun canMove(machine: Machine, now: Long): Boolean =
        machine.placements.isEmpty() && machine.retirement == null && !machine.returning && machine.flavor != null &&
            (!machine.everHeard || (machine.trusted && now - machine.emptySince > IDLE_TO_MOVE_MS && !spareNeeded(machine, now)))

    fun progress(ref: String): Progress? {
        val job = jobs[ref] ?: return null
        return Progress(job.doneCount, job.placements().count { it.running })
    }

    private companion object {
        const val LATE_WITHOUT_DUE_MS = 120_000L
        const val SPOT_PATIENCE = 4.0
        const val MOST_RETURNED = 100
        const val KEPT_REPORTS = 4
        const val BOOT_WORTH = 0.25
        const val GREET_AFTER_MS = 2_500L
        const val GREET_EVERY_MS = 4_000L
        const val GREET_FOR_MS = 30_000L
        const val ATTEMPT_BITS = 22
        const val LOOKAHEAD_S = 60.0
        const val CHARGE_EVERY_S = 1.0
        const val MERCY_SLACK_S = 1.0
        const val DRAIN_SLACK_S = 3.0
        const val MAX_DIRECT_CALLS = 3
        const val FAILURES_OF_A_BAD_JOB = 4
        const val JOBS_FAILED_BY_A_SICK_MACHINE = 2
        const val FIRST_RETRY_MS = 2_000L
        const val MAX_RETRY_MS = 30_000L
        const val REFUSED_RETRY_MS = 500L
        const val SILENT_REPORTS = 3.0
        const val LOST_BOOT_FACTOR = 2.5
        const val LOST_BOOT_S = 5.0
        const val ARRIVALS_WINDOW_MS = 180_000L
        const val MIN_TOTALS_MS = 1_000L
        const val IDLE_TO_MOVE_MS = 2_000L
        const val MAX_SHAPES = 20
    }
}

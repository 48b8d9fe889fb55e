package io.reedmast.fleet

import io.reedmast.jobs.Job
import io.reedmast.jobs.Placement
import io.reedmast.jobs.SliceState
import io.reedmast.placement.allows
import io.reedmast.placement.zonesOpen
import io.reedmast.ports.Gateway
import io.reedmast.settings.TeamIndex
import io.reedmast.state.Change
import io.reedmast.state.Fetched
import io.reedmast.state.Guard
import io.reedmast.state.Item
import io.reedmast.state.Keys
import io.reedmast.state.Outcome
import io.reedmast.state.Write
import io.reedmast.state.WritePriority
import io.reedmast.wire.JobSpec
import io.reedmast.wire.MalformedException
import io.reedmast.wire.map
import io.reedmast.workers.HostRecord
import io.reedmast.workers.Machine
import io.reedmast.workers.MachineLifecycle
import org.slf4j.LoggerFactory
import kotlin.math.ceil
import kotlin.math.sqrt

/** What a slice needs, what it can spare, and the totals that tell the leader. */
class DemandEstimator(private val sliceState: SliceState, private val out: Gateway, private val hostsVersion: () -> Long, private val termInDoubt: () -> Unit) {
    private val log = LoggerFactory.getLogger("slice")
    private val slice = sliceState.index.value
    private var version = 0L
    private var writing = false
    private var due = 0L
    private var lastDemand: List<Demand> = emptyList()
    private var lastWritten = 0L

    fun load(totals: Item) {
        version = totals.version
        try {
            sliceState.usage.load(totals.value.map("usage"))
        } catch (e: MalformedException) {
            log.error("slice {}: stored totals cannot be read: {}", slice, e.message)
        }
    }

    // ---- room ---------------------------------------------------------------------------------------------------------

    /** Free room of a machine, which is filled up in thought. */
    class Room(val host: HostRecord, private var cpus: Double, private var gpus: Double, private var memoryGb: Double) {
        val freeCpus: Double get() = cpus

        /** Takes as many of [most] tasks as fit, and returns how many. */
        fun take(spec: JobSpec, most: Int): Int {
            if (!allows(spec, host.typeName, host.zone, host.spot)) return 0
            var fit = most
            if (spec.cpus > 0) fit = minOf(fit, ((cpus + Machine.EPSILON) / spec.cpus).toInt())
            if (spec.gpus > 0) fit = minOf(fit, ((gpus + Machine.EPSILON) / spec.gpus).toInt())
            if (spec.memoryGb > 0) fit = minOf(fit, ((memoryGb + Machine.EPSILON) / spec.memoryGb).toInt())
            if (fit <= 0) return 0
            cpus -= spec.cpus * fit
            gpus -= spec.gpus * fit
            memoryGb -= spec.memoryGb * fit
            return fit
        }
    }

    /**
     * The room of machines that have not come up yet, or have not reported to us yet since we took the slice.
     *
     * One that was up before and does not report is rather dead than booting: its room must not hide what is wanted.
     */
    fun coming(): List<Room> {
        val justTaken = sliceState.clock.now() - sliceState.activeAt < sliceState.settings.workers.reportS * 1000 * REPORTS_TO_SHOW_UP
        return sliceState.machines.values
            .filter { !it.trusted && it.retirement == null && it.machineType != null && (justTaken || !it.everHeard) }
            .map { Room(it.record, it.freeCpus, it.freeGpus, it.freeMemoryGb) }
    }

    /** How many of [count] tasks find no room in [rooms]. */
    fun left(spec: JobSpec, count: Int, rooms: List<Room>): Int {
        var left = count
        for (room in rooms) {
            if (left <= 0) break
            left -= room.take(spec, left)
        }
        return left
    }

    // ---- what can be spared ---------------------------------------------------------------------------------------------

    /** Whether the slice would have too little free room for the services that arrive while a machine boots. */
    inner class Spare(private var free: Double, private val wanted: Double) {
        fun needs(machine: Machine) = wanted > 0.0 && !machine.record.spot && free - machine.freeCpus < wanted

        fun without(machine: Machine) {
            if (!machine.record.spot) free -= machine.freeCpus
        }
    }

    fun spareCpus(now: Long) = Spare(sliceState.machines.values.filter { it.usable && !it.record.spot }.sumOf { it.freeCpus }, headroom(now))

    /** CPUs of the services that arrive within a boot. */
    private fun headroom(now: Long): Double = shortestBoot()?.let { arriving(now, it) } ?: 0.0

    /** Room that other work leaves free on machines with services, for the services that arrive within a few seconds. */
    fun reserve(now: Long): Double = arriving(now, RESERVE_S)

    /** Expected CPUs of the services that arrive within [seconds], with two deviations on top. */
    private fun arriving(now: Long, seconds: Double): Double {
        val arrivals = sliceState.arrivals.since(now - ARRIVALS_WINDOW_MS)
        // With the last service gone, nothing says that more will come.
        if (arrivals.isEmpty() || sliceState.jobs.values.none { it.spec.service }) return 0.0
        val part = seconds * 1000.0 / ARRIVALS_WINDOW_MS
        return arrivals.sumOf { it.cpus } * part + 2 * sqrt(arrivals.sumOf { it.cpus * it.cpus } * part)
    }

    private fun ArrayDeque<SliceState.Arrival>.since(at: Long) = apply { while (isNotEmpty() && first().at < at) removeFirst() }

    /** Array work that arrives in a second, in CPU seconds, as far as it is sure: below the mean by one deviation and a half. */
    private fun arrayRate(): Double {
        val arrivals = sliceState.arrayArrivals.since(sliceState.clock.now() - ARRAYS_WINDOW_MS)
        return maxOf(0.0, arrivals.sumOf { it.cpus } - RATE_DEVIATIONS * sqrt(arrivals.sumOf { it.cpus * it.cpus })) * 1000.0 / ARRAYS_WINDOW_MS
    }

    private fun shortestBoot(): Double? = sliceState.machines.values.mapNotNull { it.machineType?.bootS }.minOrNull()

    private var meanImageGb = 0.0

    /**
     * How long an empty machine is kept.
     *
     * What is lost with it is its boot and its images; a boot is partly hidden, since machines are rented as work comes.
     * Spot machines cost a fraction, and are kept longer by the same measure.
     */
    fun patienceMs(machine: Machine): Double {
        val machineType = machine.machineType ?: return 0.0
        val ordinary =
            sliceState.tuning.idleS
                ?: maxOf(machineType.bootS * BOOT_WORTH + meanImageGb / machineType.fetchGbPerS, sliceState.settings.workers.reportS * KEPT_REPORTS)
        return ordinary * 1000 * if (machine.record.spot) SPOT_PATIENCE else 1.0
    }

    /**
     * Empty for a while and not kept for services, or still booting and not asked for just now: a machine that has just come
     * covers what was wanted, so that nothing is, and went on to the next slice before it could be used.
     */
    private fun movable(now: Long): List<String> {
        val spare = spareCpus(now)
        return sliceState.machines.values.filter { machine ->
            machine.placements.isEmpty() && machine.retirement == null && !machine.returning && machine.machineType != null &&
                (
                    (!machine.everHeard && now - machine.firstSeenAt > JUST_COME_MS) ||
                        (machine.trusted && now - machine.emptySince > IDLE_TO_MOVE_MS && !spare.needs(machine))
                    )
        }.take(MAX_IDLE).map { it.name }
    }

    /**
     * Machines that could be emptied for another slice, those that lose least by it first, some of each kind. Empty ones that
     * are kept for services to come are among them.
     *
     * Services are placed again at once, and what ends within seconds is waited for; other work that cannot resume is lost.
     */
    private fun lendable(now: Long): List<String> {
        val usable = sliceState.machines.values.filter {
            it.usable && it.noticeUntil == 0L && it.placements.values.none { p -> now - p.madeAt < JUST_PLACED_MS }
        }
        val free = usable.sumOf { it.freeCpus }
        return usable
            // With less room on the others, the work of this one would starve next, and the machine come back.
            .filter { machine -> machine.placements.values.sumOf { it.job.spec.cpus } <= free - machine.freeCpus + Machine.EPSILON }
            .sortedBy { machine -> machine.placements.values.sumOf { emptyingCost(it, now) } }
            .groupBy { Triple(it.record.typeName, it.record.zone, it.record.spot) }.values
            .flatMap { it.take(LENDABLE_OF_A_KIND) }.take(MAX_LENDABLE).map { it.name }
    }

    private fun emptyingCost(placement: Placement, now: Long): Double {
        val spec = placement.job.spec
        val ranS = if (placement.running) (now - placement.runningSince) / 1000.0 else 0.0
        return spec.cpus * when {
            spec.service -> SERVICE_COST_S
            spec.estimateS - ranS < MachineLifecycle.ENDS_SOON_S -> 0.0
            spec.resumable -> spec.saveS
            else -> ranS
        }
    }

    /** What a task of each job takes of which nothing has run for long, and since how many seconds, the longest first. */
    private fun starving(now: Long): List<Starving> = sliceState.jobs.values
        .filter { sliceState.hungry(it) && !it.ending && sliceState.allowance(it) > 0 }
        .sortedBy { sliceState.hungrySince(it) }.take(MAX_STARVING)
        .map { Starving(Demand.of(it.spec, true, 1, onlyZone(it)), (now - sliceState.hungrySince(it)) / 1000.0) }

    /** The zone in which new room for the job must be, if its other tasks or its user leave only one. */
    private fun onlyZone(job: Job): String? = zonesOpen(job, zones())?.singleOrNull() ?: job.spec.zone

    private fun zones() = sliceState.machineTypes.flatMapTo(LinkedHashSet()) { it.zones }

    // ---- what is wanted ---------------------------------------------------------------------------------------------------

    fun demand(): List<Demand> {
        val rooms = coming()
        val kinds = LinkedHashMap<Any, Demand>()
        val left = HashMap<TeamIndex, Double>()
        val pace = Pace(rooms)
        val now = sliceState.clock.wall()
        val zones = zones()
        val waiting = sliceState.jobs.values.filter { it.waitingCount > 0 && !it.ending && !sliceState.looksBad(it) }
        for (job in waiting.sortedWith(compareBy({ !it.spec.service }, { it.spec.priority }, { sliceState.dueMs(it) }))) {
            val spec = job.spec
            var tasks = minOf(job.waitingCount, sliceState.allowance(job))
            val share = sliceState.settings.teams[job.team.value]
            if (share.maxCpus > 0 && spec.cpus > 0) {
                val cpus = left.getOrPut(job.team) { share.maxCpus - sliceState.usedCpus(job.team) }
                tasks = minOf(tasks, (cpus / spec.cpus + Machine.EPSILON).toInt())
                left[job.team] = cpus - tasks * spec.cpus
            }
            val open = zonesOpen(job, zones)
            tasks = left(spec, tasks, if (open == null) rooms else rooms.filter { it.host.zone in open })
            // The pace takes any room of the slice for room of the job. Where it is in another zone, say, the job would wait for ever.
            if (!spec.service) tasks = minOf(tasks, maxOf(pace.tasksToRentFor(job, tasks, now), if (sliceState.starves(job)) 1 else 0))
            if (tasks <= 0 || open?.isEmpty() == true) continue
            val zone = if (open == null ||
                open.size == zones.size
            ) {
                spec.zone
            } else {
                open.minBy { zone -> sliceState.machines.values.count { it.record.zone == zone } }
            }
            val demand = Demand.of(spec, sliceState.late(job), tasks, zone)
            kinds.merge(demand.kind(), demand, Demand::plus)
        }
        return kinds.values.toList()
    }

    /**
     * How fast the slice gets through its array work, in the order it is due, and what it lacks to be in time.
     *
     * Run times are the owners' estimates. Work that the machines at hand get through by its due time needs no more of them,
     * and no new machine is up in time for what is due before it has booted.
     */
    private inner class Pace(rooms: List<Room>) {
        private val bootS = shortestBoot() ?: 0.0
        private var cpus = 0.0
        private var work = 0.0

        /** What a burst brings while machines for it boot would come too late if it were waited for. */
        private val arriving = arrayRate()

        init {
            for (machine in sliceState.machines.values) if (machine.usable) cpus += machine.freeCpus
            cpus += rooms.sumOf { it.freeCpus }
            for (job in sliceState.jobs.values) {
                if (job.spec.service) continue
                val running = job.placedCount * job.spec.cpus
                cpus += running
                work += running * job.spec.estimateS / 2
            }
        }

        fun tasksToRentFor(job: Job, tasks: Int, now: Long): Int {
            val spec = job.spec
            work += job.waitingCount * spec.cpus * spec.estimateS
            val leftS = (sliceState.dueMs(job) - now) / 1000.0 - spec.estimateS
            val seconds = maxOf(leftS, bootS * LATEST_BOOTS)
            val lacking = maxOf(work * ESTIMATE_SLACK / seconds, arriving) - cpus
            if (lacking <= 0.0) return 0
            val some = minOf(tasks, ceil(lacking / maxOf(spec.cpus, Machine.EPSILON)).toInt())
            cpus += some * spec.cpus
            return some
        }
    }

    /**
     * Zones most of whose machines fell silent lately: a zone that is cut off. What is rented there cannot be reached either,
     * and with its machines returned it would look like the zone with the most room.
     */
    private fun dark(now: Long): List<String> = sliceState.givenUp.filter { (zone, times) ->
        while (times.isNotEmpty() && now - times.first() > DARK_MS) times.removeFirst()
        times.size >= LEAST_DARK &&
            times.size > sliceState.machines.values.count { it.record.zone == zone && it.trusted && now - it.lastHeardAt <= sliceState.reportOverdueMs }
    }.keys.toList()

    // ---- totals -----------------------------------------------------------------------------------------------------------

    /** Team totals and demand, every few seconds, and sooner when demand has changed. */
    fun writeTotals(now: Long) {
        if (writing || now - lastWritten < MIN_TOTALS_MS) return
        meanImageGb = if (sliceState.jobs.isEmpty()) 0.0 else sliceState.jobs.values.sumOf { it.spec.imageGb } / sliceState.jobs.size
        val demand = demand()
        val starving = starving(now)
        val wanted = demand.isNotEmpty() || lastDemand.isNotEmpty() || starving.isNotEmpty()
        if (now < due && !(wanted && demand != lastDemand)) return
        lastDemand = demand
        lastWritten = now
        logState(now, demand)
        due = now + (sliceState.tuning.totalsS * 1000).toLong()
        writing = true
        val wall = sliceState.clock.wall()
        val waiting = sliceState.jobs.values.filter { it.waitingCount > 0 }.mapTo(HashSet()) { it.team }
        val value =
            mapOf(
                "term" to sliceState.term,
                "hosts" to hostsVersion(),
                "usage" to sliceState.usage.toFields(sliceState.teams),
                "ratio" to (waiting.minOfOrNull { sliceState.ratio(it, wall) } ?: 0.0),
                "demand" to demand.take(MAX_KINDS).map { it.toFields() },
                "idle" to movable(now),
                "lendable" to lendable(now),
                "starving" to starving.map { it.toFields() },
                "dark" to dark(now),
            )
        val path = Keys.totals(slice)
        out.commit(
            Change(
                listOf(sliceState.termGuard, Guard(path, version)),
                listOf(Write.Put(path, value)),
                if (wanted) WritePriority.PROMPT else WritePriority.LAZY,
            ) { outcome ->
                writing = false
                if (sliceState.dropped) return@Change
                if (outcome is Outcome.Applied) version = outcome.revision
                if (outcome is Outcome.Conflict) {
                    if (Keys.slice(slice) in outcome.failed) termInDoubt()
                    if (path in outcome.failed) out.get(path) { if (it is Fetched.Found) version = it.item.version }
                }
            },
        )
    }

    private var logDue = 0L

    private fun logState(now: Long, demand: List<Demand>) {
        if (now < logDue) return
        logDue = now + LOG_EVERY_MS
        val (up, coming) = sliceState.machines.values.partition { it.usable }
        log.info(
            "slice {}: {} machines, {} not in use, {} CPUs free of {}, {} jobs with {} tasks waiting, wanted: {}",
            slice,
            up.size,
            coming.size,
            up.sumOf { it.freeCpus }.toInt(),
            up.sumOf { it.machineType?.cpus ?: 0.0 }.toInt(),
            sliceState.jobs.size,
            sliceState.jobs.values.sumOf { it.waitingCount },
            demand.map { "${it.count} of ${"%.1f".format(it.cpus)} CPUs" },
        )
    }

    /** Whether machines that are on their way have room for all that [job] may still start. */
    fun comingHolds(job: Job, rooms: List<Room>): Boolean = left(job.spec, minOf(job.waitingCount, sliceState.allowance(job)), rooms) == 0

    private companion object {
        const val SPOT_PATIENCE = 2.0
        const val ESTIMATE_SLACK = 1.5
        const val LATEST_BOOTS = 1.0
        const val LOG_EVERY_MS = 15_000L
        const val KEPT_REPORTS = 4
        const val BOOT_WORTH = 0.25
        const val ARRIVALS_WINDOW_MS = 180_000L
        const val RATE_DEVIATIONS = 1.5
        const val ARRAYS_WINDOW_MS = 40_000L
        const val RESERVE_S = 10.0
        const val DARK_MS = 45_000L
        const val LEAST_DARK = 4
        const val REPORTS_TO_SHOW_UP = 2
        const val MIN_TOTALS_MS = 1_000L
        const val IDLE_TO_MOVE_MS = 2_000L
        const val JUST_COME_MS = 8_000L
        const val JUST_PLACED_MS = 15_000L
        const val MAX_KINDS = 12
        const val MAX_IDLE = 100
        const val MAX_LENDABLE = 24
        const val LENDABLE_OF_A_KIND = 3
        const val MAX_STARVING = 3

        /** What stopping a replica and starting it elsewhere is worth, in seconds of its run. */
        const val SERVICE_COST_S = 5.0
    }
}

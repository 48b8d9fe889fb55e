package io.reedmast.sim

import io.reedmast.app.Controller
import io.reedmast.app.WorkerAnswer
import io.reedmast.fleet.Rental
import io.reedmast.peers.PeerMessage
import io.reedmast.placement.allows
import io.reedmast.ports.Clock
import io.reedmast.ports.Gateway
import io.reedmast.ports.LeaseState
import io.reedmast.ports.Rented
import io.reedmast.settings.NodeIndex
import io.reedmast.settings.Settings
import io.reedmast.settings.Tuning
import io.reedmast.state.Change
import io.reedmast.state.Fetched
import io.reedmast.state.Item
import io.reedmast.state.Outcome
import io.reedmast.wire.JobSpec
import io.reedmast.wire.ListedHost
import io.reedmast.wire.MachineType
import io.reedmast.wire.Order
import io.reedmast.wire.Priority
import io.reedmast.wire.Reply
import io.reedmast.wire.Report
import io.reedmast.wire.TaskId
import io.reedmast.wire.UserAnswer
import java.net.InetSocketAddress
import java.util.PriorityQueue
import kotlin.random.Random

/** A deterministic world: simulated time, a state service, a cloud, workers and users, around real controllers. */
class World(val settingsOf: (Int) -> Settings, nodes: Int, val machineTypes: List<MachineType>, val tuning: Tuning = Tuning()) : Clock {
    private class Event(val at: Long, val order: Long, val work: () -> Unit)

    private var time = 1_000L
    private var order = 0L
    private val events = PriorityQueue<Event>(compareBy<Event>({ it.at }, { it.order }))
    val state = SimState(this)
    val workers = LinkedHashMap<String, SimWorker>()
    private val workersByAddr = HashMap<String, SimWorker>()
    val nodes = (0 until nodes).map { SimNode(this, it) }
    val jobs = HashMap<String, SimJob>()
    val broken = ArrayList<String>()
    val told = HashMap<String, String>()

    /** How often tasks of a job have started. */
    val starts = HashMap<String, Int>()
    private val requests = HashMap<String, List<String>>()
    private var hosts = 0
    var capacity = Int.MAX_VALUE

    /** How many times longer the state service takes than usual. */
    var stateSlow = 1L

    /** Reports and direct commands that have arrived somewhere. */
    var messages = 0

    /** What chance decides: the same for every run. */
    var random = Random(1)

    /** The share of transactions that get no answer and are carried out late. */
    var lateWrites = 0.0

    /** The share of transactions that are carried out at once and get no answer. */
    var lostAnswers = 0.0

    /** How many changes a second the nodes allow themselves together; the state service refuses more if it is told to. */
    var writesPerS = UNLIMITED

    /** Since when no trouble is left. */
    var calmSince = Long.MAX_VALUE

    /** Machines that were returned, in order. */
    val returned = ArrayList<String>()

    /** The cloud neither rents nor takes machines back while this is set. */
    var cloudOut = false
    val settings = settingsOf(0)

    override fun now(): Long = time

    override fun wall(): Long = 1_700_000_000_000L + time

    fun after(ms: Long, work: () -> Unit) {
        events.add(Event(time + ms, order++, work))
    }

    fun runUntil(ms: Long) {
        while (true) {
            val next = events.peek() ?: break
            if (next.at > ms) break
            events.poll()
            time = next.at
            next.work()
        }
        time = maxOf(time, ms)
    }

    fun addWorker(typeName: String, zone: String, spot: Boolean, bootMs: Long): SimWorker {
        val name = "host-%06d".format(hosts++)
        val worker = SimWorker(this, name, machineTypes.first { it.label == typeName }, zone, spot, time)
        workers[name] = worker
        worker.cut = zone in dark
        workersByAddr[worker.addr] = worker
        after(bootMs) { worker.start() }
        return worker
    }

    /** Each direct call that was carried out arrives once more, this much later; 0: none does. */
    var repeatDirectMs = 0L

    private val dark = HashSet<String>()

    fun darken(zone: String, on: Boolean) {
        if (on) dark.add(zone) else dark.remove(zone)
        workers.values.filter { it.zone == zone }.forEach { it.cut = on }
    }

    fun breach(what: String) {
        broken.add("${time / 1000.0} s: $what")
    }

    /** A job as a scenario describes it, with what its tasks really do. */
    class SimJob(val spec: JobSpec, val runMs: Long, val fails: Boolean) {
        var abortedAt = 0L
        val completed = HashSet<Int>()
        var atEnd: (() -> Unit)? = null

        /** Since when it has had room somewhere, its team was below its limit, and none of its tasks was on a machine. */
        var neglectedSince = 0L

        fun complete(task: Int) {
            if (completed.add(task) && completed.size == spec.taskCount) atEnd?.invoke()
        }
    }

    /** Where each task of the job is, and under which attempt. */
    fun attempts(jobId: String): Map<TaskId, Pair<String, Long>> =
        workers.values.flatMap { w -> w.attempts().filterKeys { it.jobId == jobId }.map { (id, attempt) -> id to (w.name to attempt) } }.toMap()

    fun atEndOf(jobId: String, work: () -> Unit) {
        jobs.getValue(jobId).atEnd = work
    }

    /** Once the troubles are over, no job waits 90 s while a machine that fits has room and its team is under its limit. */
    fun checkNeglected() {
        if (time < calmSince) return
        for ((jobId, job) in jobs) {
            val spec = job.spec
            val waits = jobId in told && told[jobId] !in FINAL && !job.fails && (spec.service || job.completed.size < spec.taskCount) &&
                workers.values.none { w -> w.held().any { it.jobId == jobId } }
            val room = waits && underLimit(job) &&
                workers.values.any { it.alive && it.freeCpus() + 1e-6 >= spec.cpus && allows(spec, it.machineType.label, it.zone, it.spot) }
            if (!room) {
                job.neglectedSince = time
            } else if (time - maxOf(job.neglectedSince, calmSince) > NEGLECT_MS) {
                breach("neglected $jobId")
                job.neglectedSince = time
            }
        }
    }

    /** Whether the team's limit leaves room for one more task of the job. */
    private fun underLimit(job: SimJob): Boolean {
        val max = settings.teams.first { it.name == job.spec.teamName }.maxCpus
        val used = workers.values.sumOf { w -> w.held().mapNotNull { jobs[it.jobId]?.spec }.filter { it.teamName == job.spec.teamName }.sumOf { it.cpus } }
        return max == 0.0 || used + job.spec.cpus <= max + 1e-6
    }

    /** Accepted jobs that have not got what they were promised. */
    fun unsettled(): List<String> = told.keys.sorted().mapNotNull { jobId ->
        val job = jobs.getValue(jobId)
        val running = workers.values.sumOf { w -> w.onMachine().count { it.jobId == jobId } }
        when {
            told[jobId] == "aborted" -> if (running > 0) "$jobId is cancelled and runs" else null
            job.fails || !underLimit(job) -> null
            job.spec.service -> if (running != job.spec.taskCount) "$jobId: $running of ${job.spec.taskCount} run" else null
            else -> if (job.completed.size < job.spec.taskCount) "$jobId: ${job.completed.size} of ${job.spec.taskCount} done" else null
        }
    }

    /** With thousands of tasks, looking at all of them whenever one starts takes longer than all else. */
    var checked = true

    /** Checks, when a task starts, that the rules hold. */
    fun started(worker: SimWorker, id: TaskId) {
        starts.merge(id.jobId, 1, Int::plus)
        if (!checked) return
        val job = jobs.getValue(id.jobId)
        val everywhere = workers.values.flatMap { w -> w.onMachine().map { w to it } }
        if (everywhere.count { it.second == id } > 1) breach("ran_twice $id on ${everywhere.filter { it.second == id }.map { it.first.name }}")
        val team = settings.teams.first { it.name == job.spec.teamName }
        val used = everywhere.filter { jobs.getValue(it.second.jobId).spec.teamName == team.name }.sumOf { jobs.getValue(it.second.jobId).spec.cpus }
        if (team.maxCpus > 0 && used > team.maxCpus + 1e-6) breach("quota of ${team.name}: $used")
        val spec = job.spec
        val mine = everywhere.filter { it.second.jobId == id.jobId }
        val wrong =
            (worker.spot && !spec.spot) || (spec.zone != null && spec.zone != worker.zone) ||
                (spec.allowedTypes != null && worker.machineType.label !in spec.allowedTypes.orEmpty()) ||
                (spec.oneZone && mine.any { it.first.zone != worker.zone }) ||
                (spec.spread && mine.count { it.first.zone == worker.zone } > (spec.taskCount + 1) / 2)
        if (wrong) breach("wrong_place $id on ${worker.name} in ${worker.zone}")
        checkCancelled()
    }

    fun checkCancelled() {
        for ((jobId, job) in jobs) {
            if (job.abortedAt == 0L || time - job.abortedAt <= settings.workers.cancelS * 1000) continue
            workers.values.forEach { w -> w.onMachine().filter { it.jobId == jobId }.forEach { breach("ran_cancelled $it on ${w.name}") } }
        }
    }

    fun answered(jobId: String, answer: UserAnswer, known: Boolean) {
        if (known && answer.status in setOf(400, 404, 422)) breach("forgotten $jobId: ${answer.status}")
        val stage = answer.job?.state?.wire ?: return
        val job = jobs[jobId]
        if (job == null) breach("invented $jobId")
        val before = told[jobId]
        if (before in FINAL && stage != before) breach("went_back $jobId from $before to $stage")
        if (stage == "done" && job != null && job.completed.size < job.spec.taskCount) breach("not_done $jobId")
        told[jobId] = stage
        if (stage == "aborted" && job != null && job.abortedAt == 0L) job.abortedAt = time
    }

    fun workerAt(addr: String): SimWorker? = workersByAddr[addr]

    fun rent(rental: Rental): Rented {
        val names = requests.getOrPut(rental.requestName) {
            if (cloudOut) return Rented.Failed
            val count = minOf(rental.count, capacity - workers.size).coerceAtLeast(0)
            (0 until count).map { addWorker(rental.typeName, rental.zone, rental.spot, bootMs(rental.typeName)).name }
        }
        return if (names.isEmpty()) Rented.NoCapacity else Rented.Hosts(names)
    }

    /** Takes machines back; false if the cloud does not answer. */
    fun giveBack(hosts: List<String>): Boolean {
        if (cloudOut) return false
        for (name in hosts) {
            val worker = workers.remove(name) ?: continue
            returned.add(name)
            worker.vanish()
        }
        return true
    }

    private fun bootMs(typeName: String) = (machineTypes.first { it.label == typeName }.bootS * 1000).toLong()

    companion object {
        private val FINAL = setOf("done", "aborted")
        private const val NEGLECT_MS = 90_000L
        private const val UNLIMITED = 1e9

        fun address(node: Int, port: Int) = InetSocketAddress("10.0.0.${node + 1}", port)

        fun spec(jobId: String, args: Map<String, String>) = JobSpec(
            jobId = jobId,
            jobClass = args["class"] ?: "lot",
            teamName = args["team"] ?: "a",
            service = args["kind"] == "service",
            priority = Priority.of(args["priority"] ?: "standard"),
            taskCount = args["tasks"]?.toInt() ?: 1,
            cpus = args["cpus"]?.toDouble() ?: 1.0,
            gpus = 0.0,
            memoryGb = 1.0,
            image = args["image"] ?: "img",
            imageGb = args["imageGb"]?.toDouble() ?: 0.1,
            allowedTypes = null,
            zone = args["zone"],
            oneZone = args["oneZone"] == "true",
            spread = args["spread"] == "true",
            spot = args["spot"] == "true",
            estimateS = args["run"]?.toDouble() ?: 10.0,
            checkpointS = args["checkpoint"]?.toDouble() ?: 0.0,
            saveS = 1.0,
            deadlineS = null,
        )
    }

    fun workerAnswer(node: SimNode, report: Report): WorkerAnswer? {
        messages++
        if (node.stands) {
            // It is read once the process goes on, and the answer finds nobody.
            node.later(0) { node.controller?.checkin(report) }
            return null
        }
        return node.controller?.checkin(report)
    }
}

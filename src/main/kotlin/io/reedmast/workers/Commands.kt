package io.reedmast.workers

import io.reedmast.jobs.Placement
import io.reedmast.jobs.SliceState
import io.reedmast.jobs.StopReason
import io.reedmast.ports.Gateway
import io.reedmast.wire.MalformedException
import io.reedmast.wire.Order
import io.reedmast.wire.Reply
import io.reedmast.wire.Report
import org.slf4j.LoggerFactory

/** Direct commands to workers. Launches also go out with the answers to reports, so none of these must arrive. */
class Commands(private val sliceState: SliceState, private val out: Gateway, private val take: (Machine, Report) -> Unit) {
    private val log = LoggerFactory.getLogger("slice")
    private val outbox = LinkedHashMap<Machine, MutableList<Order>>()
    private var greetDue = 0L
    private var greeting = false

    /**
     * The slice has just been taken: workers whose address is known are shown our token at once.
     *
     * Without it a machine takes no work before it has reported twice, which is several seconds for each failover.
     */
    fun begin() {
        greetDue = sliceState.clock.now() + GREET_AFTER_MS
        for (machine in sliceState.machines.values.toList()) {
            if (!machine.trusted && machine.retirement == null) greet(machine, machine.addr ?: continue, machine.session, again = true)
        }
    }

    fun launch(placement: Placement) {
        if (placement.machine.trusted) outbox.getOrPut(placement.machine) { ArrayList() }.add(Order.Launch(placement.id, placement.attempt))
    }

    /** Stops an attempt, and with a task of a gang all of it: each has to save at the same time. */
    fun stop(placement: Placement, reason: StopReason) {
        stopOne(placement, reason)
        if (placement.job.spec.gang) placement.job.placements().filter { it.stopReason == null }.toList().forEach { stopOne(it, reason) }
    }

    private fun stopOne(placement: Placement, reason: StopReason) {
        if (placement.stopReason == StopReason.ABORTED || placement.stopReason == reason) return
        placement.stopReason = reason
        if (reason != StopReason.ABORTED) log.info("{} try {}: to be stopped on {}: {}", placement.id, placement.attempt, placement.machine.name, reason)
        val machine = placement.machine
        if (placement.committed && machine.trusted && placement.launchSession == machine.session) {
            outbox.getOrPut(machine) { ArrayList() }.add(stopOrder(placement))
        }
    }

    fun stopOrder(placement: Placement): Order.Stop {
        val spec = placement.job.spec
        val grace = if (savesNothing(placement.stopReason) || !spec.resumable) 0.0 else spec.saveS + GRACE_SLACK_S
        return Order.Stop(placement.id, placement.attempt, grace)
    }

    /** The progress is of no use to anybody, or is lost already. */
    private fun savesNothing(reason: StopReason?) = reason == StopReason.ABORTED || reason == StopReason.GANG_INCOMPLETE

    /** Sends what has gathered for the workers. */
    fun send() {
        if (outbox.isEmpty()) return
        val batches = LinkedHashMap(outbox)
        outbox.clear()
        for ((machine, gathered) in batches) {
            val orders = gathered.filter { it !is Order.Launch || isWanted(machine, it) }
            val addr = machine.addr
            if (orders.isEmpty() || addr == null || !machine.trusted || machine.directCalls >= MAX_DIRECT_CALLS || !sliceState.fresh() ||
                seemsAway(machine)
            ) {
                continue
            }
            val token = sliceState.tokenFor(machine)
            val session = machine.session
            val launches = orders.filterIsInstance<Order.Launch>()
            for (order in launches) {
                machine.noteLaunch(order.id, order.attempt, DirectLaunch(session, token))
                machine.placements[order.id]?.takeIf { it.attempt == order.attempt }?.launchSession = session
            }
            machine.directCalls++
            out.direct(addr, token, session, orders) { reply ->
                machine.directCalls--
                if (reply is Reply.NotSent) launches.forEach { machine.noteNotSent(it.id, it.attempt) }
                if (reply is Reply.Answer) answered(machine, reply) else machine.mutedAt = sliceState.clock.now()
            }
        }
    }

    /** Since the launch was decided, a report may have ended its placement, or the job may have been cancelled. */
    private fun isWanted(machine: Machine, launch: Order.Launch): Boolean {
        val placement = machine.placements[launch.id] ?: return false
        return placement.attempt == launch.attempt && placement.stopReason == null
    }

    /**
     * Whether calling the machine would only hold a thread for seconds: it left a command unanswered since its last report,
     * or its report is overdue. A few dozen hung machines would otherwise hold up the commands to all others.
     */
    private fun seemsAway(machine: Machine) =
        machine.mutedAt >= machine.lastHeardAt || sliceState.clock.now() - machine.lastHeardAt > sliceState.reportOverdueMs

    private fun answered(machine: Machine, reply: Reply.Answer): Report? {
        if (sliceState.dropped || (reply.status != 200 && reply.status != 409)) return null
        return try {
            Report.parse(reply.body).also { if (it.host == machine.name) take(machine, it) }
        } catch (e: MalformedException) {
            log.error("the answer of {} cannot be read: {}", machine.name, e.message)
            null
        }
    }

    /**
     * Shows our token to machines that have not reported since the slice was taken.
     *
     * Their workers may still report to the old owner, which answers them as long as it does not know better; having seen
     * our token they drop its answers, and its commands reach them no more.
     */
    fun greet(now: Long) {
        if (greetDue == 0L || now < greetDue || greeting) return
        if (sliceState.machines.values.none { toGreet(it) }) {
            if (now - sliceState.activeAt > GREET_FOR_MS) greetDue = 0L
            return
        }
        greeting = true
        greetDue = now + GREET_EVERY_MS
        out.listHosts { hosts ->
            greeting = false
            if (sliceState.dropped) return@listHosts
            for (host in hosts.orEmpty()) {
                val machine = sliceState.machines[host.name]?.takeIf { toGreet(it) } ?: continue
                greet(machine, host.addr ?: continue, machine.session, again = true)
            }
        }
    }

    private fun toGreet(machine: Machine) = !machine.trusted && machine.retirement == null && machine.placements.isNotEmpty()

    private fun greet(machine: Machine, addr: String, session: Long, again: Boolean) {
        out.direct(addr, sliceState.tokenFor(machine), session, emptyList()) { reply ->
            val report = (reply as? Reply.Answer)?.let { answered(machine, it) }
            // Refused for its session, which the answer tells.
            if (report != null && again && report.token < sliceState.token) greet(machine, addr, report.session, again = false)
        }
    }

    private companion object {
        const val MAX_DIRECT_CALLS = 3
        const val GRACE_SLACK_S = 1.0
        const val GREET_AFTER_MS = 2_500L
        const val GREET_EVERY_MS = 4_000L
        const val GREET_FOR_MS = 30_000L
    }
}

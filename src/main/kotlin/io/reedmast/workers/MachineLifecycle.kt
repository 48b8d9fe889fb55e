package io.reedmast.workers

import io.reedmast.fleet.SpareMachines
import io.reedmast.jobs.ShardState
import io.reedmast.jobs.StopReason
import io.reedmast.ports.Gateway
import org.slf4j.LoggerFactory

/** Which machines of a shard stay, move or go. */
class MachineLifecycle(
    private val shardState: ShardState,
    private val out: Gateway,
    private val commands: Commands,
    private val spareMachines: SpareMachines,
    private val removeHosts: (Set<String>) -> Unit,
    private val handOver: (Collection<String>) -> Unit,
    private val requestTakeover: () -> Unit,
) {
    private val log = LoggerFactory.getLogger("shard")
    private val toReturn = LinkedHashSet<Machine>()
    private var returnInFlight = false

    /** Hosts that are returned but may still stand in the shard's records. */
    private val gone = HashSet<String>()
    private var removeDue = 0L
    private var requestDue = 0L

    /** When this node last was unable to answer workers or to decide: silence before that says nothing. */
    private var deafUntil = 0L

    fun isGone(host: String) = host in gone

    /** The shard's records now name [hosts] only. */
    fun noteRecorded(hosts: Set<String>) {
        gone.retainAll(hosts)
    }

    fun tick(now: Long) {
        watch(now)
        sendReturns()
        if (gone.isNotEmpty() && now >= removeDue) {
            removeDue = now + REMOVE_EVERY_MS
            removeHosts(gone)
        }
    }

    private fun watch(now: Long) {
        if (!shardState.fresh()) {
            // Workers are turned away during a long outage; after one, all of them would seem to have been silent.
            deafUntil = now
            return
        }
        val silentAfter = (shardState.settings.workers.reportS * 1000 * SILENT_REPORTS).toLong()
        noticeLossOfWorkers(now)
        retireSilent(now, silentAfter)
        retireDeaf()
        val spare = spareMachines.spareCpus(now)
        val empty = ArrayList<String>()
        for (machine in shardState.machines.values.toList()) {
            val machineType = machine.machineType
            if (!machine.everHeard && machine.retirement == null && machineType != null &&
                now - machine.firstSeenAt > (machineType.bootS * LOST_BOOT_FACTOR + LOST_BOOT_S) * 1000
            ) {
                log.info("{}: has not come up in {} s; it is replaced", machine.name, (now - machine.firstSeenAt) / 1000)
                machine.retirement = Retirement.NEVER_CAME
            }
            val notice = machine.noticeUntil
            if (notice != 0L) drain(machine, notice, now)
            if (notice in 1..now && now - machine.lastHeardAt > shardState.reportOverdueMs && machine.retirement == null) {
                log.info("{}: taken by the cloud, as it said; it is replaced", machine.name)
                machine.retirement = Retirement.SILENT
            }
            when (machine.retirement) {
                null -> if (idle(machine, now, spare)) retireIdle(machine, spare)

                Retirement.SILENT, Retirement.DEAF, Retirement.NEVER_CAME -> giveBack(machine)

                Retirement.SICK -> if (machine.placements.isEmpty() || now - machine.lastHeardAt > silentAfter) giveBack(machine) else drainSick(machine)

                Retirement.IDLE -> if (machine.placements.isEmpty()) giveBack(machine) else machine.retirement = null

                Retirement.MOVING -> {
                    if (machine.placements.isNotEmpty() || machine.directCalls > 0) {
                        drainMoving(machine, now)
                    } else if (machine.isEmptyAsStored) {
                        empty.add(machine.name)
                    }
                    if (now - machine.lastHeardAt > silentAfter * 2 && machine.everHeard) machine.retirement = Retirement.SILENT
                }
            }
        }
        if (empty.isNotEmpty()) handOver(empty)
    }

    /**
     * Nearly all machines falling silent within one report's time is this node's loss of its workers. It still has its keys and
     * hears the store, so nobody else can tell as soon, and the workers' leases are short.
     */
    private fun noticeLossOfWorkers(now: Long) {
        val overdueMs = shardState.reportOverdueMs
        if (now < requestDue || now - maxOf(shardState.activeAt, deafUntil) < overdueMs * SETTLED_REPORTS) return
        val heard = shardState.machines.values.filter { it.trusted && it.retirement == null }
        val overdue = heard.count { now - it.lastHeardAt > overdueMs }
        val newlySilent = heard.count { now - it.lastHeardAt in overdueMs..overdueMs * SETTLED_REPORTS }
        if (heard.size < FEWEST_TO_TELL || overdue < heard.size * NEARLY_ALL || newlySilent * 2 < heard.size) return
        requestDue = now + REQUEST_EVERY_MS
        requestTakeover()
    }

    private fun retireSilent(now: Long, silentAfter: Long) {
        // A machine that was up before we took the shard must show itself to us too, and may need a greeting for that.
        val heard = shardState.machines.values.filter { it.everHeard || it.placements.isNotEmpty() }
        val silent = heard.filter { now - maxOf(it.lastHeardAt, shardState.activeAt + silentAfter / 2, deafUntil + silentAfter) > silentAfter }
        // If most machines are silent at once, it is rather this node that hears nothing.
        val patience = if (silent.size * 2 > heard.size && heard.size > 1) (shardState.settings.workers.leaseS * 1000).toLong() else 0L
        for (machine in silent) {
            if (machine.retirement != null && machine.retirement != Retirement.MOVING) continue
            if (now - maxOf(machine.lastHeardAt, shardState.activeAt) <= silentAfter + patience) continue
            log.info("{}: silent for {} s; it is replaced", machine.name, (now - machine.lastHeardAt) / 1000)
            machine.retirement = Retirement.SILENT
            shardState.givenUp.getOrPut(machine.record.zone) { ArrayDeque() }.addLast(now)
        }
    }

    /** Machines that report and hear nothing. Several at once would rather be this node's own answers that get lost. */
    private fun retireDeaf() {
        val deaf = shardState.machines.values.filter { it.unheeded >= Machine.DEAF_AFTER && it.retirement == null }
        if (deaf.isEmpty()) return
        if (deaf.size > maxOf(MOST_DEAF, shardState.machines.size / 4)) {
            log.info("shard {}: {} machines seem to hear nothing; it is rather this node", shardState.index.value, deaf.size)
            deaf.forEach { it.unheeded = 0 }
            return
        }
        for (machine in deaf) {
            log.info("{}: reports, but nothing reaches it; it is replaced", machine.name)
            machine.retirement = Retirement.DEAF
        }
    }

    private fun drainSick(machine: Machine) {
        machine.placements.values.toList().forEach { commands.stop(it, StopReason.DRAINED) }
    }

    /** What soon ends on a machine that is to move is waited for; for the rest, the shard that gets it would wait too long. */
    private fun drainMoving(machine: Machine, now: Long) {
        // Marked as idle, and given work before the mark was known here: that is not stopped a moment after it was placed.
        if (machine.placements.values.any { it.madeAt > machine.movingSince - JUST_PLACED_MS }) return
        for (placement in machine.placements.values.toList()) {
            val spec = placement.job.spec
            val ranS = if (placement.running) (now - placement.runningSince) / 1000.0 else 0.0
            val endsSoon = !spec.service && placement.running && spec.estimateS - ranS < ENDS_SOON_S && ranS < spec.estimateS + ENDS_SOON_S
            if (!endsSoon) commands.stop(placement, StopReason.DRAINED)
        }
    }

    private fun drain(machine: Machine, noticeUntil: Long, now: Long) {
        val left = (noticeUntil - now) / 1000.0
        for (placement in machine.placements.values.toList()) {
            if (placement.stopReason != null) continue
            val spec = placement.job.spec
            val ranS = if (placement.running) (now - placement.runningSince) / 1000.0 else 0.0
            val finishes = !spec.service && placement.running && spec.estimateS - ranS < left - 1.0
            val lastMoment = left < (if (spec.resumable) spec.saveS + DRAIN_SLACK_S else 0.0)
            if (spec.service || !placement.running || lastMoment || (!spec.resumable && !finishes)) commands.stop(placement, StopReason.DRAINED)
        }
    }

    private fun idle(machine: Machine, now: Long, spare: SpareMachines.Spare): Boolean {
        if (machine.placements.isNotEmpty() || !machine.trusted) return false
        // A machine that has just booted has been empty for all of its boot: it was returned before anything could be placed.
        if (now - machine.trustedAt < JUST_UP_MS) return false
        val patience = spareMachines.patienceMs(machine)
        // While this node heard nothing from the store, nothing could be placed there.
        return now - maxOf(machine.emptySince, deafUntil) > patience && now - shardState.activeAt > patience && !spare.needs(machine)
    }

    private fun retireIdle(machine: Machine, spare: SpareMachines.Spare) {
        log.info("{}: empty for {} s; it is returned", machine.name, (shardState.clock.now() - machine.emptySince) / 1000)
        spare.without(machine)
        machine.retirement = Retirement.IDLE
        giveBack(machine)
    }

    /** Returns a machine. Only the cloud's answer is evidence that what was on it is gone. */
    private fun giveBack(machine: Machine) {
        if (machine.returning || !shardState.fresh()) return
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
        if (returnInFlight || toReturn.isEmpty() || !shardState.fresh()) return
        val leaving = toReturn.take(MOST_RETURNED)
        toReturn.removeAll(leaving.toSet())
        returnInFlight = true
        out.giveBack(leaving.map { it.name }) { confirmed ->
            returnInFlight = false
            if (shardState.dropped) return@giveBack
            leaving.forEach { if (confirmed) returned(it) else it.returning = false }
        }
    }

    /** The cloud has confirmed that the machine and all that was on it are gone. */
    private fun returned(machine: Machine) {
        machine.placements.values.toList().forEach {
            log.info("{} try {}: gone with {}", it.id, it.attempt, machine.name)
            shardState.finish(it, done = false)
        }
        shardState.jobs.values.forEach { it.failedOn.remove(machine) }
        shardState.machines.remove(machine.name)
        gone.add(machine.name)
        removeDue = minOf(removeDue, shardState.clock.now() + REMOVE_SOON_MS)
    }

    companion object {
        /** Work that has this long to go, by its owner's estimate, is let end on a machine that is to move. */
        const val ENDS_SOON_S = 15.0
        private const val JUST_PLACED_MS = 6_000L
        private const val MOST_RETURNED = 100
        private const val MOST_DEAF = 3
        private const val SILENT_REPORTS = 3.0
        private const val FEWEST_TO_TELL = 4
        private const val NEARLY_ALL = 0.8
        private const val SETTLED_REPORTS = 3
        private const val REQUEST_EVERY_MS = 2_000L
        private const val LOST_BOOT_FACTOR = 2.5
        private const val LOST_BOOT_S = 5.0
        private const val DRAIN_SLACK_S = 3.0
        private const val JUST_UP_MS = 2_000L
        private const val REMOVE_EVERY_MS = 2_000L
        private const val REMOVE_SOON_MS = 500L
    }
}

package io.reedmast.autoscaling

import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.model.ShardState
import io.reedmast.placement.openZones
import io.reedmast.settings.TeamId
import kotlin.math.ceil

/** What a shard needs beyond the machines that it has. */
class DemandEstimator(private val shardState: ShardState, private val arrivals: ArrivalRates) {
    /**
     * The room of machines that have not come up yet, or have not reported to us yet since we took the shard.
     *
     * One that was up before and does not report is rather dead than booting: its room must not hide what is wanted.
     */
    fun coming(): List<FreeCapacity> {
        val justTaken =
            shardState.clock.now() - shardState.activeAt <
                shardState.settings.workers.reportS * 1000 * REPORTS_TO_SHOW_UP
        return shardState.machines.values
            .filter {
                !it.trusted && it.decommissionReason == null && it.machineType != null &&
                    (justTaken || !it.everReported)
            }
            .map { FreeCapacity(it.record, it.freeCpus, it.freeGpus, it.freeMemoryGb) }
    }

    /**
     * What a task of each job takes of which nothing has run for long, and since how many seconds, the longest first.
     */
    fun starving(now: Long): List<Starving> = shardState.jobs.values
        .filter { shardState.isNearlyStarving(it) && !it.ending && shardState.remainingQuota(it) >= tasksAtOnce(it) }
        .sortedBy { shardState.starvingSince(it) }.take(MAX_STARVING)
        .map {
            Starving(
                Demand.of(it.spec, true, tasksAtOnce(it), onlyZone(it)),
                (now - shardState.starvingSince(it)) / 1000.0,
            )
        }

    /** The zone in which new room for the job must be, if its other tasks or its user leave only one. */
    private fun onlyZone(job: Job): String? = openZones(job, zones())?.singleOrNull() ?: zoneForGang(job)

    /** How many tasks of the job start at once, or not at all. */
    private fun tasksAtOnce(job: Job): Int = if (job.spec.gang) job.spec.taskCount else 1

    /**
     * The zone in which to find room for a gang that needs one: that with most free room of ours, then the others in
     * turn, since the cloud may have nothing left in one.
     */
    private fun zoneForGang(job: Job): String? {
        if (!job.spec.gang || !job.spec.oneZone || job.spec.zone != null) return job.spec.zone
        val zones = zonesByFreeRoom()
        if (zones.isEmpty()) return null
        return zones[((shardState.clock.now() - job.waitsSince) / ZONE_TRIED_MS % zones.size).toInt()]
    }

    private fun machinesIn(zone: String) = shardState.machines.values.count { it.record.zone == zone }

    private fun zones() = shardState.machineTypes.flatMapTo(LinkedHashSet()) { it.zones }

    /**
     * A gang that is to be spread needs room in several zones at once: machines in one zone alone would stay empty and
     * go again.
     */
    private fun demandOfSpreadGang(job: Job): List<Demand> {
        val spec = job.spec
        val inOneZone = (spec.taskCount + 1) / 2
        var left = spec.taskCount
        val demands = ArrayList<Demand>()
        for (zone in zonesByFreeRoom()) {
            if (left <= 0) break
            val tasks = minOf(left, inOneZone)
            demands.add(Demand.of(spec, shardState.isPastDeadline(job), tasks, zone))
            left -= tasks
        }
        return demands
    }

    private fun zonesByFreeRoom(): List<String> = zones().sortedByDescending { zone ->
        shardState.machines.values.sumOf {
            if (it.record.zone == zone &&
                it.usable
            ) {
                it.freeCpus
            } else {
                0.0
            }
        }
    }

    fun demand(): List<Demand> {
        val rooms = coming()
        val kinds = LinkedHashMap<Any, Demand>()
        val left = HashMap<TeamId, Double>()
        val pace = Pace(rooms)
        val now = shardState.clock.wall()
        val zones = zones()
        val waiting = shardState.jobs.values.filter {
            it.pendingCount > 0 && !it.ending &&
                !shardState.isSuspectedFaulty(it)
        }
        for (job in waiting.sortedWith(
            compareBy({
                !it.spec.service
            }, { it.spec.priority }, { shardState.deadlineMs(it) }),
        )) {
            val spec = job.spec
            var tasks = minOf(job.pendingCount, shardState.remainingQuota(job))
            val share = shardState.settings.teams[job.team.value]
            if (tasks < tasksAtOnce(job)) continue
            if (share.maxCpus > 0 && spec.cpus > 0) {
                val cpus = left.getOrPut(job.team) { share.maxCpus - shardState.usedCpus(job.team) }
                tasks = minOf(tasks, (cpus / spec.cpus + Machine.EPSILON).toInt())
                if (tasks < tasksAtOnce(job)) continue
                left[job.team] = cpus - tasks * spec.cpus
            }
            val open = openZones(job, zones) ?: if (spec.gang) zoneForGang(job)?.let { setOf(it) } else null
            tasks = countWithoutRoom(spec, tasks, if (open == null) rooms else rooms.filter { it.record.zone in open })
            // The pace takes any room of the shard for room of the job. Where it is in another zone, say, the job would
            // wait for ever.
            if (!spec.service &&
                !spec.gang
            ) {
                tasks =
                    minOf(
                        tasks,
                        maxOf(pace.tasksToProvisionFor(job, tasks, now), if (shardState.isStarving(job)) 1 else 0),
                    )
            }
            if (tasks <= 0 || open?.isEmpty() == true) continue
            val zone = if (open == null || open.size == zones.size) spec.zone else open.minBy { machinesIn(it) }
            val wanted = if (spec.gang &&
                spec.spread
            ) {
                demandOfSpreadGang(job)
            } else {
                listOf(Demand.of(spec, shardState.isPastDeadline(job), tasks, zone))
            }
            wanted.forEach { kinds.merge(it.kind(), it, Demand::plus) }
        }
        return kinds.values.toList()
    }

    /**
     * How fast the shard gets through its array work, in the order it is due, and what it lacks to be in time.
     *
     * Run times are the owners' estimates. Work that the machines at hand get through by its due time needs no more of
     * them, and no new machine is up in time for what is due before it has booted.
     */
    private inner class Pace(rooms: List<FreeCapacity>) {
        private val bootS = shardState.shortestBootS() ?: 0.0
        private var cpus = 0.0
        private var work = 0.0

        /** What a burst brings while machines for it boot would come too late if it were waited for. */
        private val arriving = arrivals.arrayCpuSecondsPerS()

        init {
            for (machine in shardState.machines.values) if (machine.usable) cpus += machine.freeCpus
            cpus += rooms.sumOf { it.freeCpus }
            for (job in shardState.jobs.values) {
                if (job.spec.service || job.spec.gang) continue
                val running = job.placedCount * job.spec.cpus
                cpus += running
                work += running * job.spec.estimateS / 2
            }
        }

        fun tasksToProvisionFor(job: Job, tasks: Int, now: Long): Int {
            val spec = job.spec
            work += job.pendingCount * spec.cpus * spec.estimateS
            val leftS = (shardState.deadlineMs(job) - now) / 1000.0 - spec.estimateS
            val seconds = maxOf(leftS, bootS * LATEST_BOOTS)
            val lacking = maxOf(work * ESTIMATE_SLACK / seconds, arriving) - cpus
            if (lacking <= 0.0) return 0
            val some = minOf(tasks, ceil(lacking / maxOf(spec.cpus, Machine.EPSILON)).toInt())
            cpus += some * spec.cpus
            return some
        }
    }

    /** Whether machines that are on their way have room for all that [job] may still start. */
    fun comingHolds(job: Job, rooms: List<FreeCapacity>): Boolean =
        countWithoutRoom(job.spec, minOf(job.pendingCount, shardState.remainingQuota(job)), rooms) == 0

    private companion object {
        const val ESTIMATE_SLACK = 1.5
        const val LATEST_BOOTS = 1.0
        const val REPORTS_TO_SHOW_UP = 2
        const val MAX_STARVING = 3
        const val ZONE_TRIED_MS = 15_000L
    }
}

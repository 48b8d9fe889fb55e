package io.reedmast.autoscaling

import io.reedmast.model.Machine
import io.reedmast.model.Placement
import io.reedmast.model.ShardState

/** Which machines a shard can spare: those to be returned, to be moved to another shard, or to be emptied for it. */
class ScaleInPolicy(private val shardState: ShardState, private val arrivals: ArrivalRates) {
    /** Whether the shard would have too little free room for the services that arrive while a machine boots. */
    inner class Headroom(private var free: Double, private val wanted: Double) {
        fun needs(machine: Machine) = wanted > 0.0 && !machine.record.spot && free - machine.freeCpus < wanted

        fun without(machine: Machine) {
            if (!machine.record.spot) free -= machine.freeCpus
        }
    }

    fun spareCpus(now: Long) = Headroom(
        shardState.machines.values.filter {
            it.usable && !it.record.spot
        }.sumOf { it.freeCpus },
        serviceHeadroom(now),
    )

    /** CPUs of the services that arrive within a boot. */
    private fun serviceHeadroom(now: Long): Double =
        shardState.shortestBootS()?.let { arrivals.serviceCpus(now, it) } ?: 0.0

    /**
     * FreeCapacity that other work leaves free on machines with services, for the services that arrive within a few
     * seconds.
     */
    fun serviceReserve(now: Long): Double = arrivals.serviceCpus(now, RESERVE_S)

    private var meanImageGb = 0.0

    /** Takes up the size of the images that the shard's jobs need. */
    fun recordImages() {
        meanImageGb =
            if (shardState.jobs.isEmpty()) {
                0.0
            } else {
                shardState.jobs.values.sumOf { it.spec.imageGb } /
                    shardState.jobs.size
            }
    }

    /**
     * How long an empty machine is kept.
     *
     * What is lost with it is its boot and its images; a boot is partly hidden, since machines are rented as work
     * comes. Spot machines cost a fraction, and are kept longer by the same measure.
     */
    fun scaleInDelayMs(machine: Machine): Double {
        val machineType = machine.machineType ?: return 0.0
        val ordinary =
            shardState.tuning.idleS
                ?: maxOf(
                    machineType.bootS * BOOT_WORTH + meanImageGb / machineType.fetchGbPerS,
                    shardState.settings.workers.reportS * KEPT_REPORTS,
                )
        return ordinary * 1000 * if (machine.record.spot) SPOT_DELAY_FACTOR else 1.0
    }

    /**
     * Empty for a while and not kept for services, or still booting and not asked for just now: a machine that has just
     * come covers what was wanted, so that nothing is, and went on to the next shard before it could be used.
     */
    fun movable(now: Long): List<String> {
        val headroom = spareCpus(now)
        return shardState.machines.values.filter { machine ->
            machine.placements.isEmpty() && machine.decommissionReason == null && !machine.returning &&
                machine.machineType != null &&
                (
                    (!machine.everReported && now - machine.firstSeenAt > JUST_COME_MS) ||
                        (machine.trusted && now - machine.emptySince > IDLE_TO_MOVE_MS && !headroom.needs(machine))
                    )
        }.take(MAX_IDLE).map { it.name }
    }

    /**
     * Machines that could be emptied for another shard, those that lose least by it first, some of each kind. Empty
     * ones that are kept for services to come are among them.
     *
     * Services are placed again at once, and what ends within seconds is waited for; other work that cannot resume is
     * lost.
     */
    fun lendable(now: Long): List<String> {
        val usable = shardState.machines.values.filter {
            it.usable && it.noticeUntil == 0L &&
                it.placements.values.none { p -> now - p.madeAt < JUST_PLACED_MS || p.job.spec.gang }
        }
        val free = usable.sumOf { it.freeCpus }
        return usable
            // With less room on the others, the work of this one would starve next, and the machine come back.
            .filter { machine ->
                machine.placements.values.sumOf { it.job.spec.cpus } <=
                    free - machine.freeCpus + Machine.EPSILON
            }
            .sortedBy { machine -> machine.placements.values.sumOf { emptyingCost(it, now) } }
            .groupBy { Triple(it.record.typeName, it.record.zone, it.record.spot) }.values
            .flatMap { it.take(LENDABLE_OF_A_KIND) }.take(MAX_LENDABLE).map { it.name }
    }

    private fun emptyingCost(placement: Placement, now: Long): Double {
        val spec = placement.job.spec
        val ranS = if (placement.running) (now - placement.runningSince) / 1000.0 else 0.0
        return spec.cpus * when {
            spec.service -> SERVICE_COST_S
            spec.estimateS - ranS < ENDS_SOON_S -> 0.0
            spec.resumable -> spec.saveS
            else -> ranS
        }
    }

    /**
     * Zones most of whose machines fell silent lately: a zone that is cut off. What is rented there cannot be reached
     * either, and with its machines returned it would look like the zone with the most room.
     */
    fun unavailableZones(now: Long): List<String> = shardState.silentMachinesByZone.filter { (zone, times) ->
        while (times.isNotEmpty() && now - times.first() > UNAVAILABLE_ZONE_MS) times.removeFirst()
        times.size >= MIN_SILENT_IN_ZONE &&
            times.size >
            shardState.machines.values.count {
                it.record.zone == zone && it.trusted &&
                    now - it.lastHeartbeatAt <= shardState.heartbeatLateMs
            }
    }.keys.toList()

    companion object {
        /** Work that has this long to go, by its owner's estimate, is let end on a machine that is to move. */
        const val ENDS_SOON_S = 15.0

        private const val SPOT_DELAY_FACTOR = 2.0
        private const val KEPT_REPORTS = 4
        private const val BOOT_WORTH = 0.25
        private const val RESERVE_S = 10.0
        private const val UNAVAILABLE_ZONE_MS = 45_000L
        private const val MIN_SILENT_IN_ZONE = 4
        private const val IDLE_TO_MOVE_MS = 2_000L
        private const val JUST_COME_MS = 8_000L
        private const val JUST_PLACED_MS = 15_000L
        private const val MAX_IDLE = 100
        private const val MAX_LENDABLE = 24
        private const val LENDABLE_OF_A_KIND = 3

        /** What stopping a replica and starting it elsewhere is worth, in seconds of its run. */
        private const val SERVICE_COST_S = 5.0
    }
}

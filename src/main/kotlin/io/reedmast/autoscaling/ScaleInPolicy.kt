package io.reedmast.autoscaling

import io.reedmast.model.Machine
import io.reedmast.model.ShardState

/** Which empty machines a shard can do without: how long it keeps them, and which may move to another shard. */
class ScaleInPolicy(private val shardState: ShardState, private val arrivals: ArrivalRates) {
    /**
     * Free on-demand capacity that is kept for the services that arrive while a machine boots: [freeCpus] of which
     * [neededCpus] must stay.
     */
    class Headroom(private var freeCpus: Double, private val neededCpus: Double) {
        /** Whether too little would be left without the machine. */
        fun needs(machine: Machine): Boolean =
            neededCpus > 0.0 && !machine.record.spot && freeCpus - machine.freeCpus < neededCpus

        /** The machine is being removed. */
        fun remove(machine: Machine) {
            if (!machine.record.spot) freeCpus -= machine.freeCpus
        }
    }

    private var meanImageGb = 0.0

    /** The shard's headroom as it is at [now], in milliseconds. */
    fun headroom(now: Long): Headroom {
        val onDemandMachines = shardState.machines.values.filter { it.usable && !it.record.spot }
        return Headroom(onDemandMachines.sumOf { it.freeCpus }, cpusOfServicesWithinBoot(now))
    }

    private fun cpusOfServicesWithinBoot(now: Long): Double =
        shardState.shortestBootS()?.let { arrivals.serviceCpus(now, it) } ?: 0.0

    /**
     * CPUs that other work leaves free on machines with services, for the services that arrive within a few seconds.
     */
    fun serviceReserve(now: Long): Double = arrivals.serviceCpus(now, SERVICE_RESERVE_S)

    /** Records the size of the images that the shard's jobs need, by which [scaleInDelayMs] goes. */
    fun recordImages() {
        val jobs = shardState.jobs.values
        meanImageGb = if (jobs.isEmpty()) 0.0 else jobs.sumOf { it.spec.imageGb } / jobs.size
    }

    /**
     * How long an empty machine is kept, in milliseconds.
     *
     * What is lost with it is its boot and its images; a boot is partly hidden, since machines are rented as work
     * comes. Spot machines cost a fraction, and are kept longer by the same measure.
     */
    fun scaleInDelayMs(machine: Machine): Double {
        val machineType = machine.machineType ?: return 0.0
        val onDemandDelayS = shardState.tuning.idleTimeoutS ?: maxOf(
            machineType.bootS * BOOT_WORTH + meanImageGb / machineType.fetchGbPerS,
            shardState.settings.workers.heartbeatIntervalS * MIN_HEARTBEATS_KEPT,
        )
        return onDemandDelayS * MS_PER_S * if (machine.record.spot) SPOT_DELAY_FACTOR else 1.0
    }

    /** Names of the machines that may move to another shard at once: empty ones, idle or still booting. */
    fun transferable(now: Long): List<String> {
        val headroom = headroom(now)
        return shardState.machines.values
            .filter { isEmptyAndStays(it) }
            .filter { isUnneededBoot(it, now) || (isIdle(it, now) && !headroom.needs(it)) }
            .take(MAX_TRANSFERABLE)
            .map { it.name }
    }

    private fun isEmptyAndStays(machine: Machine): Boolean =
        machine.placements.isEmpty() && machine.decommissionReason == null && !machine.isReturning &&
            machine.machineType != null && !machine.isContested

    /**
     * Whether the machine is still booting and was not asked for just now: one that has just come covers the demand
     * for it, so that there is none any more, and went on to the next shard before it could be used.
     */
    private fun isUnneededBoot(machine: Machine, now: Long): Boolean =
        !machine.everReported && now - machine.firstSeenAt > JUST_PROVISIONED_MS

    private fun isIdle(machine: Machine, now: Long): Boolean =
        machine.isStateKnown && now - machine.emptySince > MIN_IDLE_TO_MOVE_MS

    companion object {
        /** Work that has this long to go, by its owner's estimate, is let end on a machine that is to move. */
        const val ENDS_SOON_S = 15.0

        private const val SPOT_DELAY_FACTOR = 2.0

        /** A machine is kept for this many heartbeats at least. */
        private const val MIN_HEARTBEATS_KEPT = 4

        /** The part of its boot that an empty machine is kept for. */
        private const val BOOT_WORTH = 0.25
        private const val SERVICE_RESERVE_S = 10.0
        private const val MIN_IDLE_TO_MOVE_MS = 2_000L
        private const val JUST_PROVISIONED_MS = 8_000L
        private const val MAX_TRANSFERABLE = 100
    }
}

package io.reedmast.autoscaling

import io.reedmast.model.Machine
import io.reedmast.model.ShardState

/** Decides how long a shard keeps empty machines, and which of them may move to another shard. */
class ScaleInPolicy(private val shardState: ShardState, private val arrivals: ArrivalRates) {
    /**
     * The free on-demand capacity, [freeCpus], of which [neededCpus] are kept for the services that arrive while a
     * machine boots.
     */
    class Headroom(private var freeCpus: Double, private val neededCpus: Double) {
        /** Whether too little free capacity would be left without the machine. */
        fun needs(machine: Machine): Boolean =
            neededCpus > 0.0 && !machine.record.spot && freeCpus - machine.freeCpus < neededCpus

        /** Subtracts the capacity of a machine that is being removed. */
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
     * CPUs that other work must leave free on machines with services, for services that arrive in the next few seconds.
     */
    fun serviceReserve(now: Long): Double = arrivals.serviceCpus(now, SERVICE_RESERVE_S)

    /** Updates the mean image size of the shard's jobs, on which [scaleInDelayMs] depends. */
    fun updateMeanImageSize() {
        val jobs = shardState.jobs.values
        meanImageGb = if (jobs.isEmpty()) 0.0 else jobs.sumOf { it.spec.imageGb } / jobs.size
    }

    /**
     * How long an empty machine is kept, in milliseconds.
     *
     * A machine that is returned loses its boot time and its cached images. Only a part of the boot time counts, since
     * machines are rented as work arrives, which hides some of it. Spot machines cost a fraction of the on-demand
     * price, and are kept longer by the same measure.
     */
    fun scaleInDelayMs(machine: Machine): Double {
        val machineType = machine.machineType ?: return 0.0
        val onDemandDelayS = shardState.tuning.idleTimeoutS ?: maxOf(
            machineType.bootS * BOOT_TIME_FRACTION + meanImageGb / machineType.fetchGbPerS,
            shardState.settings.workers.heartbeatIntervalS * MIN_DELAY_HEARTBEATS,
        )
        return onDemandDelayS * MS_PER_S * if (machine.record.spot) SPOT_DELAY_FACTOR else 1.0
    }

    /** Names of the machines that may move to another shard at once: empty ones, idle or still booting. */
    fun transferable(now: Long): List<String> {
        val headroom = headroom(now)
        return shardState.machines.values
            .filter { isEmptyAndAvailable(it) }
            .filter { isTransferableWhileBooting(it, now) || (isIdle(it, now) && !headroom.needs(it)) }
            .take(MAX_TRANSFERABLE)
            .map { it.name }
    }

    private fun isEmptyAndAvailable(machine: Machine): Boolean =
        machine.placements.isEmpty() && machine.decommissionReason == null && !machine.isReturning &&
            machine.machineType != null && !machine.isContested

    /**
     * Whether the machine is still booting and did not come just now. A machine that has just come covers the demand
     * that it was meant for, so its shard shows none any more; such machines were moved on to the next shard before
     * they could be used.
     */
    private fun isTransferableWhileBooting(machine: Machine, now: Long): Boolean =
        !machine.everReported && now - machine.firstSeenAt > JUST_PROVISIONED_MS

    private fun isIdle(machine: Machine, now: Long): Boolean =
        machine.isStateKnown && now - machine.emptySince > MIN_IDLE_TO_MOVE_MS

    companion object {
        /** A task with less than this left, by its owner's estimate, may finish on a machine that is to move. */
        const val ENDS_SOON_S = 15.0

        private const val SPOT_DELAY_FACTOR = 2.0

        /** An empty machine is kept for at least this many heartbeat intervals. */
        private const val MIN_DELAY_HEARTBEATS = 4

        /** The fraction of its boot time for which an empty machine is kept. */
        private const val BOOT_TIME_FRACTION = 0.25
        private const val SERVICE_RESERVE_S = 10.0
        private const val MIN_IDLE_TO_MOVE_MS = 2_000L
        private const val JUST_PROVISIONED_MS = 8_000L
        private const val MAX_TRANSFERABLE = 100
    }
}

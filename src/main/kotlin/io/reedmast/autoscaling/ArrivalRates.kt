package io.reedmast.autoscaling

import io.reedmast.model.JobArrival
import io.reedmast.model.ShardState
import kotlin.math.sqrt

/** Estimates the work that will arrive at a shard from the work that has arrived recently. */
class ArrivalRates(private val shardState: ShardState) {
    /**
     * CPUs of the services and gangs expected to arrive within [seconds]: the mean plus two standard deviations. [now]
     * is in milliseconds.
     */
    fun serviceCpus(now: Long, seconds: Double): Double {
        val arrivals = shardState.jobArrivals.services.dropBefore(now - SERVICES_WINDOW_MS)
        // Once the shard has no service or gang left, nothing indicates that more will arrive.
        if (arrivals.isEmpty() || shardState.jobs.values.none { it.spec.isService || it.spec.isGang }) return 0.0
        val windowFraction = seconds * MS_PER_S / SERVICES_WINDOW_MS
        val mean = arrivals.sumOf { it.demand } * windowFraction
        return mean + SERVICES_DEVIATIONS * sqrt(sumOfSquares(arrivals) * windowFraction)
    }

    /**
     * A conservative estimate of the array work that arrives per second, in CPU seconds: one and a half standard
     * deviations below the mean, but at least 0.
     */
    fun arrayCpuSecondsPerS(): Double {
        val arrivals = shardState.jobArrivals.arrays.dropBefore(shardState.clock.now() - ARRAYS_WINDOW_MS)
        val inWindow = arrivals.sumOf { it.demand } - ARRAYS_DEVIATIONS * sqrt(sumOfSquares(arrivals))
        return maxOf(0.0, inWindow) * MS_PER_S / ARRAYS_WINDOW_MS
    }

    private fun sumOfSquares(arrivals: Collection<JobArrival>): Double = arrivals.sumOf { it.demand * it.demand }

    /** Removes the arrivals before [startMs], which are at the front. */
    private fun ArrayDeque<JobArrival>.dropBefore(startMs: Long) = apply {
        while (isNotEmpty() && first().arrivedAt < startMs) removeFirst()
    }

    private companion object {
        const val SERVICES_WINDOW_MS = 180_000L
        const val SERVICES_DEVIATIONS = 2
        const val ARRAYS_WINDOW_MS = 40_000L
        const val ARRAYS_DEVIATIONS = 1.5
    }
}

package io.reedmast.autoscaling

import io.reedmast.model.JobArrival
import io.reedmast.model.ShardState
import kotlin.math.sqrt

/** What work is expected to arrive at a shard, by what has arrived lately. */
class ArrivalRates(private val shardState: ShardState) {
    /**
     * CPUs of the services that are expected to arrive within [seconds], with two standard deviations on top. [now] is
     * in milliseconds.
     */
    fun serviceCpus(now: Long, seconds: Double): Double {
        val arrivals = shardState.jobArrivals.services.dropBefore(now - SERVICES_WINDOW_MS)
        // With the last service gone, nothing says that more will come.
        if (arrivals.isEmpty() || shardState.jobs.values.none { it.spec.isService || it.spec.isGang }) return 0.0
        val windowFraction = seconds * MS_PER_S / SERVICES_WINDOW_MS
        val mean = arrivals.sumOf { it.demand } * windowFraction
        return mean + SERVICES_DEVIATIONS * sqrt(sumOfSquares(arrivals) * windowFraction)
    }

    /**
     * Array work that arrives in a second, in CPU seconds, as far as it is certain: one and a half standard deviations
     * below the mean.
     */
    fun arrayCpuSecondsPerS(): Double {
        val arrivals = shardState.jobArrivals.arrays.dropBefore(shardState.clock.now() - ARRAYS_WINDOW_MS)
        val inWindow = arrivals.sumOf { it.demand } - ARRAYS_DEVIATIONS * sqrt(sumOfSquares(arrivals))
        return maxOf(0.0, inWindow) * MS_PER_S / ARRAYS_WINDOW_MS
    }

    private fun sumOfSquares(arrivals: Collection<JobArrival>): Double = arrivals.sumOf { it.demand * it.demand }

    /** Removes the arrivals before [startMs], which are the first ones. */
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

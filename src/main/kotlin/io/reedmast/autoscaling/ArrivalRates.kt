package io.reedmast.autoscaling

import io.reedmast.model.ShardState
import kotlin.math.sqrt

/** What work is expected to arrive at a shard, by what has arrived lately. */
class ArrivalRates(private val shardState: ShardState) {
    /** Expected CPUs of the services that arrive within [seconds], with two deviations on top. */
    fun serviceCpus(now: Long, seconds: Double): Double {
        val arrivals = shardState.arrivals.since(now - ARRIVALS_WINDOW_MS)
        // With the last service gone, nothing says that more will come.
        if (arrivals.isEmpty() || shardState.jobs.values.none { it.spec.service || it.spec.gang }) return 0.0
        val part = seconds * 1000.0 / ARRIVALS_WINDOW_MS
        return arrivals.sumOf { it.cpus } * part + 2 * sqrt(arrivals.sumOf { it.cpus * it.cpus } * part)
    }

    private fun ArrayDeque<ShardState.Arrival>.since(at: Long) = apply {
        while (isNotEmpty() &&
            first().at < at
        ) {
            removeFirst()
        }
    }

    /**
     * Array work that arrives in a second, in CPU seconds, as far as it is sure: below the mean by one deviation and a
     * half.
     */
    fun arrayCpuSecondsPerS(): Double {
        val arrivals = shardState.arrayArrivals.since(shardState.clock.now() - ARRAYS_WINDOW_MS)
        return maxOf(0.0, arrivals.sumOf { it.cpus } - RATE_DEVIATIONS * sqrt(arrivals.sumOf { it.cpus * it.cpus })) *
            1000.0 /
            ARRAYS_WINDOW_MS
    }

    private companion object {
        const val ARRIVALS_WINDOW_MS = 180_000L
        const val ARRAYS_WINDOW_MS = 40_000L
        const val RATE_DEVIATIONS = 1.5
    }
}

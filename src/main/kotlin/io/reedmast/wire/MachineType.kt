package io.reedmast.wire

/**
 * A machine type as the cloud describes it (PROTOCOL, GET /flavors).
 *
 * @property cacheGb space for images.
 * @property fetchGbPerS the rate at which images are fetched; above 0.
 * @property hourlyPrice the hourly price of an on-demand machine.
 * @property spotPrice the current hourly price of a spot machine; null: there are no spot machines of this type.
 * @property bootS the nominal time from the rental until the worker runs.
 * @property zones the zones that offer the type.
 */
data class MachineType(
    val label: String,
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
    val cacheGb: Double,
    val fetchGbPerS: Double,
    val hourlyPrice: Double,
    val spotPrice: Double?,
    val bootS: Double,
    val zones: List<String>,
) {
    /** How many tasks with these resource requirements fit on an empty machine. */
    fun capacityFor(cpus: Double, gpus: Double, memoryGb: Double): Int {
        var taskCount = Double.MAX_VALUE
        if (cpus > 0) taskCount = minOf(taskCount, this.cpus / cpus)
        if (gpus > 0) taskCount = minOf(taskCount, this.gpus / gpus)
        if (memoryGb > 0) taskCount = minOf(taskCount, this.memoryGb / memoryGb)
        return if (taskCount == Double.MAX_VALUE) Int.MAX_VALUE else (taskCount + ROUNDING_ERROR).toInt()
    }

    companion object {
        /** Added before a quotient is truncated to an integer: 0.3 / 0.1, for example, is slightly below 3. */
        private const val ROUNDING_ERROR = 1e-9
        private const val DEFAULT_FETCH_GB_PER_S = 0.1

        /** Lower bound that keeps fetch times finite: they are image sizes divided by the rate. */
        private const val MIN_FETCH_GB_PER_S = 0.001

        /** All types in the answer to `GET /flavors`. */
        fun parseAll(body: Fields): List<MachineType> = body.maps("builds").map { parse(it) }

        private fun parse(fields: Fields) = MachineType(
            label = fields.text("label"),
            cpus = fields.amount("cpus"),
            gpus = fields.optionalAmount("gpus") ?: 0.0,
            memoryGb = fields.amount("memGb"),
            cacheGb = fields.optionalAmount("localGb") ?: 0.0,
            fetchGbPerS = maxOf(fields.optionalAmount("pullGbPerS") ?: DEFAULT_FETCH_GB_PER_S, MIN_FETCH_GB_PER_S),
            hourlyPrice = fields.amount("hourly"),
            spotPrice = fields.optionalAmount("lowPrice"),
            bootS = fields.amount("startupS"),
            zones = fields.optionalTexts("yards") ?: emptyList(),
        )
    }
}

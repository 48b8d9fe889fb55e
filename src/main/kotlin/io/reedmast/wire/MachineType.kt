package io.reedmast.wire

/**
 * A machine type as the cloud describes it (PROTOCOL, GET /flavors).
 *
 * @property cacheGb space for images.
 * @property fetchGbPerS the rate at which images are fetched; above 0.
 * @property hourlyPrice the price of an ordinary machine.
 * @property spotPrice the present price of a spot machine by the hour; null: there are none.
 * @property bootS the nominal time from the rental until the worker runs.
 * @property zones the zones that have the type.
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
    /** How many tasks of these dimensions an empty machine holds. */
    fun capacityFor(cpus: Double, gpus: Double, memoryGb: Double): Int {
        var taskCount = Double.MAX_VALUE
        if (cpus > 0) taskCount = minOf(taskCount, this.cpus / cpus)
        if (gpus > 0) taskCount = minOf(taskCount, this.gpus / gpus)
        if (memoryGb > 0) taskCount = minOf(taskCount, this.memoryGb / memoryGb)
        return if (taskCount == Double.MAX_VALUE) Int.MAX_VALUE else (taskCount + ROUNDING_ERROR).toInt()
    }

    companion object {
        /** Added before a quotient is cut to an integer, such as 0.3 / 0.1. */
        private const val ROUNDING_ERROR = 1e-9
        private const val DEFAULT_FETCH_GB_PER_S = 0.1

        /** Keeps fetch times finite: they are quotients by the rate. */
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

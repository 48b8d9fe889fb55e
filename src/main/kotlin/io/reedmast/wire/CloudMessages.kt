package io.reedmast.wire

/** A machine type as the cloud describes it, prices by the hour. */
data class Flavor(
    val label: String,
    val cpus: Double,
    val gpus: Double,
    val memGb: Double,
    val cacheGb: Double,
    val pullGbPerS: Double,
    val hourly: Double,
    val lowPrice: Double?,
    val startupS: Double,
    val yards: List<String>,
) {
    /** How many tasks of this shape an empty machine holds. */
    fun holds(cpus: Double, gpus: Double, memGb: Double): Int {
        var most = Double.MAX_VALUE
        if (cpus > 0) most = minOf(most, this.cpus / cpus)
        if (gpus > 0) most = minOf(most, this.gpus / gpus)
        if (memGb > 0) most = minOf(most, this.memGb / memGb)
        return if (most == Double.MAX_VALUE) Int.MAX_VALUE else (most + 1e-9).toInt()
    }

    companion object {
        fun parseAll(body: Fields): List<Flavor> = body.maps("builds").map {
            Flavor(
                label = it.text("label"),
                cpus = it.amount("cpus"),
                gpus = it.optionalAmount("gpus") ?: 0.0,
                memGb = it.amount("memGb"),
                cacheGb = it.optionalAmount("localGb") ?: 0.0,
                pullGbPerS = maxOf(it.optionalAmount("pullGbPerS") ?: 0.1, 0.001),
                hourly = it.amount("hourly"),
                lowPrice = it.optionalAmount("lowPrice"),
                startupS = it.amount("startupS"),
                yards = it.optionalTexts("yards") ?: emptyList(),
            )
        }
    }
}

/** A line of the cloud's machine list. */
data class ListedHost(val name: String, val addr: String?, val build: String, val yard: String, val driftwood: Boolean, val stage: String, val ageS: Double) {
    companion object {
        fun parse(it: Fields): ListedHost = ListedHost(
            it.text("ref"),
            it.optionalText("addr"),
            it.text("build"),
            it.text("yard"),
            it.optionalFlag("driftwood"),
            it.text("stage"),
            it.optionalAmount("ageS") ?: 0.0,
        )
    }
}

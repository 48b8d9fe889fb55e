package io.reedmast.wire

/** A machine type as the cloud describes it, prices by the hour. */
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
    /** How many tasks of this shape an empty machine holds. */
    fun holds(cpus: Double, gpus: Double, memoryGb: Double): Int {
        var most = Double.MAX_VALUE
        if (cpus > 0) most = minOf(most, this.cpus / cpus)
        if (gpus > 0) most = minOf(most, this.gpus / gpus)
        if (memoryGb > 0) most = minOf(most, this.memoryGb / memoryGb)
        return if (most == Double.MAX_VALUE) Int.MAX_VALUE else (most + 1e-9).toInt()
    }

    companion object {
        fun parseAll(body: Fields): List<MachineType> = body.maps("builds").map {
            MachineType(
                label = it.text("label"),
                cpus = it.amount("cpus"),
                gpus = it.optionalAmount("gpus") ?: 0.0,
                memoryGb = it.amount("memGb"),
                cacheGb = it.optionalAmount("localGb") ?: 0.0,
                fetchGbPerS = maxOf(it.optionalAmount("pullGbPerS") ?: 0.1, 0.001),
                hourlyPrice = it.amount("hourly"),
                spotPrice = it.optionalAmount("lowPrice"),
                bootS = it.amount("startupS"),
                zones = it.optionalTexts("yards") ?: emptyList(),
            )
        }
    }
}

/** A line of the cloud's machine list. */
data class ListedMachine(
    val name: String,
    val addr: String?,
    val typeName: String,
    val zone: String,
    val spot: Boolean,
    val stage: String,
    val ageS: Double,
) {
    companion object {
        fun parse(it: Fields): ListedMachine = ListedMachine(
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

/** The bodies that the cloud takes and gives. */
object CloudMessages {
    private const val NO_CAPACITY = "no capacity"

    fun rental(requestName: String, typeName: String, zone: String, spot: Boolean, count: Int): Fields =
        mapOf("charter" to requestName, "build" to typeName, "yard" to zone, "driftwood" to spot, "count" to count)

    fun rentedMachines(body: Fields): List<String> = body.optionalTexts("hosts").orEmpty()

    fun isOutOfCapacity(body: Fields): Boolean = body["error"] == NO_CAPACITY

    fun returnOf(machineNames: List<String>): Fields = mapOf("hosts" to machineNames)

    fun listedMachines(body: Fields): List<ListedMachine> = body.maps("hosts").map { ListedMachine.parse(it) }

    fun hasMore(body: Fields): Boolean = body.flag("more")
}

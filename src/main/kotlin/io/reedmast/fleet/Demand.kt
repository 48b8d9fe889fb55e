package io.reedmast.fleet

import io.reedmast.wire.Fields
import io.reedmast.wire.amount
import io.reedmast.wire.count
import io.reedmast.wire.flag
import io.reedmast.wire.optionalText
import io.reedmast.wire.optionalTexts

/** Tasks of one shape for which a slice has no room, neither now nor on machines that are on their way. */
data class Demand(
    val cpus: Double,
    val gpus: Double,
    val memGb: Double,
    val driftwood: Boolean,
    val builds: List<String>?,
    val yard: String?,
    /** The jobs are past their due time: then a dear machine is better than none. */
    val late: Boolean,
    val count: Int,
) {
    fun toFields(): Fields = mapOf(
        "cpus" to cpus,
        "gpus" to gpus,
        "memGb" to memGb,
        "spot" to driftwood,
        "builds" to builds,
        "yard" to yard,
        "late" to late,
        "count" to count,
    )

    companion object {
        fun parse(fields: Fields) = Demand(
            fields.amount("cpus"),
            fields.amount("gpus"),
            fields.amount("memGb"),
            fields.flag("spot"),
            fields.optionalTexts("builds"),
            fields.optionalText("yard"),
            fields.flag("late"),
            fields.count("count").toInt(),
        )
    }
}

/** A request to the cloud. The charter's name is never used for another request, by any node. */
data class Rental(val charter: String, val build: String, val yard: String, val driftwood: Boolean, val count: Int)

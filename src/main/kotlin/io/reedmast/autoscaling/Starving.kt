package io.reedmast.autoscaling

import io.reedmast.wire.Fields
import io.reedmast.wire.JobSpec
import io.reedmast.wire.MachineType
import io.reedmast.wire.amount
import io.reedmast.wire.count
import io.reedmast.wire.flag
import io.reedmast.wire.map
import io.reedmast.wire.optionalText
import io.reedmast.wire.optionalTexts

/** A task of a job of which nothing has run for [waitedS] although its team's limit would let it. */
data class Starving(val demand: Demand, val waitedS: Double) {
    fun toFields(): Fields = mapOf("demand" to demand.toFields(), "waitedS" to waitedS)

    companion object {
        fun parse(fields: Fields) = Starving(Demand.parse(fields.map("demand")), fields.amount("waitedS"))
    }
}

package io.reedmast.autoscaling

import io.reedmast.wire.Fields
import io.reedmast.wire.amount
import io.reedmast.wire.map

/** A task of a job of which nothing has run for [waitedS] although its team's limit would let it. */
data class Starving(val demand: Demand, val waitedS: Double) {
    fun toFields(): Fields = mapOf("demand" to demand.toFields(), "waitedS" to waitedS)

    companion object {
        fun parse(fields: Fields) = Starving(Demand.parse(fields.map("demand")), fields.amount("waitedS"))
    }
}

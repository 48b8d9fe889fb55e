package io.reedmast.autoscaling

import io.reedmast.wire.Fields
import io.reedmast.wire.amount
import io.reedmast.wire.map

/**
 * A job of which nothing has run for [waitedS] seconds although its team's quota limit would let it: [demand] is what
 * it takes to start it, one task or a whole gang.
 */
data class StarvingJob(val demand: Demand, val waitedS: Double) {
    /** The form in which it is stored. */
    fun toFields(): Fields = mapOf("demand" to demand.toFields(), "waitedS" to waitedS)

    companion object {
        /**
         * Reads what [toFields] wrote.
         *
         * @throws io.reedmast.wire.MalformedException if a field is missing or of another type.
         */
        fun parse(fields: Fields) = StarvingJob(Demand.parse(fields.map("demand")), fields.amount("waitedS"))
    }
}

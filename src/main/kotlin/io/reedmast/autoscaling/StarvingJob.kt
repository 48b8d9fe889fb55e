package io.reedmast.autoscaling

import io.reedmast.wire.Fields
import io.reedmast.wire.amount
import io.reedmast.wire.map

/**
 * A job that has had no machine (a service: that has lacked replicas) for [waitedS] seconds although its team's quota
 * limit would let it start. [demand] is what it takes to start it: one task, or a whole gang.
 */
data class StarvingJob(val demand: Demand, val waitedS: Double) {
    /** The form in which the job is stored. */
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

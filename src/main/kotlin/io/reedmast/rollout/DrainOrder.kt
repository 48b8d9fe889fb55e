package io.reedmast.rollout

import io.reedmast.wire.Fields
import io.reedmast.wire.map
import io.reedmast.wire.text

/** An operator's order to the process [incarnation] to release its shards before it is stopped. */
data class DrainOrder(val incarnation: String, val provenance: Provenance) {
    /** The stored form. */
    fun toFields(): Fields = mapOf("incarnation" to incarnation, "made" to provenance.toFields())

    companion object {
        fun parse(fields: Fields) = DrainOrder(fields.text("incarnation"), Provenance.parse(fields.map("made")))
    }
}

/** A stored drain order with the version of its key. */
data class StoredDrainOrder(val order: DrainOrder, val version: Long)

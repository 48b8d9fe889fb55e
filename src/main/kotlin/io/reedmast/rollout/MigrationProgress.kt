package io.reedmast.rollout

import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import io.reedmast.wire.count
import io.reedmast.wire.flag
import io.reedmast.wire.text

/** Which way records are migrated. */
enum class Direction(val storedName: String) {
    FORWARD("forward"),
    BACKWARD("back"),
    ;

    companion object {
        /** The way that a gate in [state] has its records go; null if it leaves them as they are. */
        fun of(state: GateState): Direction? = when (state) {
            GateState.ENABLED -> FORWARD
            GateState.REVERTING -> BACKWARD
            GateState.DORMANT, GateState.READY, GateState.FINALIZED -> null
        }
    }
}

/**
 * How far the migration of one unit has come, as stored. A migration that is half done is a normal state: readers
 * accept both forms.
 *
 * @property generation that of the gate; progress of another one says nothing
 * @property after the last key that was dealt with, empty at the beginning
 * @property migrated records that have been changed
 * @property unreadable records that could not be read, and were left as they are: with any, the migration does not
 *   complete
 * @property oversized records whose other form does not fit a value, until their owner has divided them
 */
data class MigrationProgress(
    val direction: Direction,
    val generation: Long,
    val after: String = "",
    val migrated: Long = 0,
    val unreadable: Long = 0,
    val oversized: Long = 0,
    val complete: Boolean = false,
) {
    /** As it is stored. */
    fun toFields(): Fields = mapOf(
        "direction" to direction.storedName,
        "generation" to generation,
        "after" to after,
        "migrated" to migrated,
        "unreadable" to unreadable,
        "oversized" to oversized,
        "complete" to complete,
    )

    companion object {
        fun parse(fields: Fields) = MigrationProgress(
            fields.text("direction").let { name ->
                Direction.entries.firstOrNull { it.storedName == name }
                    ?: throw MalformedException("$name is no direction")
            },
            fields.count("generation"),
            fields.text("after"),
            fields.count("migrated"),
            fields.count("unreadable"),
            fields.count("oversized"),
            fields.flag("complete"),
        )
    }
}

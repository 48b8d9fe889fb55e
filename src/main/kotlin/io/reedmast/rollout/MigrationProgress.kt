package io.reedmast.rollout

import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import io.reedmast.wire.count
import io.reedmast.wire.flag
import io.reedmast.wire.text

/** The direction in which records are migrated. */
enum class Direction(val storedName: String) {
    FORWARD("forward"),
    BACKWARD("back"),
    ;

    companion object {
        /** The direction that a gate in [state] requires; null if it leaves the records as they are. */
        fun of(state: GateState): Direction? = when (state) {
            GateState.ENABLED -> FORWARD
            GateState.REVERTING -> BACKWARD
            GateState.DORMANT, GateState.READY, GateState.FINALIZED -> null
        }
    }
}

/**
 * The stored progress of the migration of one unit. A partially completed migration is a normal state: readers accept
 * both formats.
 *
 * @property generation the generation of the gate; progress of another generation is not valid
 * @property lastKey the key that was processed last, empty at the beginning
 * @property migrated how many records were converted
 * @property unreadable how many records could not be read and were left unchanged; the migration does not complete
 *   while there are any
 * @property oversized how many records are too large for a value in the target format, until their owner has split
 *   them
 */
data class MigrationProgress(
    val direction: Direction,
    val generation: Long,
    val lastKey: String = "",
    val migrated: Long = 0,
    val unreadable: Long = 0,
    val oversized: Long = 0,
    val complete: Boolean = false,
) {
    /** The stored form. */
    fun toFields(): Fields = mapOf(
        "direction" to direction.storedName,
        "generation" to generation,
        "after" to lastKey,
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

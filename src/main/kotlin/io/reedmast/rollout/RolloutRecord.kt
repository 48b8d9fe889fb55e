package io.reedmast.rollout

import io.reedmast.wire.BodyCodec
import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import io.reedmast.wire.asFields
import io.reedmast.wire.count
import io.reedmast.wire.map
import io.reedmast.wire.maps
import io.reedmast.wire.text

/** How far a feature has been rolled out. [storedName] is what the record of the rollout holds. */
enum class GateState(val storedName: String, val isActive: Boolean) {
    /** Not every controller understands the feature. */
    DORMANT("dormant", isActive = false),

    /** Every controller understands it; nothing of it is stored. */
    READY("ready", isActive = false),

    /** New records have the new form, and old ones are being migrated. */
    ENABLED("enabled", isActive = true),

    /** New records have the old form again, and migrated ones go back. */
    REVERTING("reverting", isActive = true),

    /** All records have the new form, and it is not taken back any more. */
    FINALIZED("finalized", isActive = true),
    ;

    companion object {
        fun of(storedName: String): GateState = entries.firstOrNull { it.storedName == storedName }
            ?: throw MalformedException("$storedName is no state of a gate")
    }
}

/** What somebody wishes a gate to come to. */
enum class Target(val storedName: String) {
    DORMANT("dormant"),
    ENABLED("enabled"),
    FINALIZED("finalized"),
    ;

    companion object {
        fun of(storedName: String): Target =
            entries.firstOrNull { it.storedName == storedName } ?: throw MalformedException("$storedName is no target")
    }
}

/** Who changed something, when by the time of day, and for what reason. */
data class Provenance(val by: String, val atMs: Long, val reason: String) {
    /** The stored form. */
    fun toFields(): Fields = mapOf("by" to by, "at" to atMs, "why" to reason)

    companion object {
        private const val LONGEST_REASON = 80

        /** Reasons come from operators: a long one must not keep the record from being stored. */
        fun of(by: String, atMs: Long, reason: String) = Provenance(by, atMs, reason.take(LONGEST_REASON))

        fun parse(fields: Fields) = Provenance(fields.text("by"), fields.count("at"), fields.text("why"))
    }
}

/**
 * The stored state of one feature.
 *
 * @property requires the least version that reads the feature's form, for controllers that do not know the feature
 * @property generation grows with each move: progress of a migration counts only for the generation that it was made
 *   under
 */
data class Gate(val state: GateState, val requires: FormatVersion, val generation: Long, val moved: Provenance) {
    /** The stored form. */
    fun toFields(): Fields = mapOf(
        "state" to state.storedName,
        "requires" to requires.value.toLong(),
        "generation" to generation,
        "moved" to moved.toFields(),
    )

    companion object {
        fun parse(fields: Fields) = Gate(
            GateState.of(fields.text("state")),
            FormatVersion(fields.count("requires").toInt()),
            fields.count("generation"),
            Provenance.parse(fields.map("moved")),
        )
    }
}

/** What an operator wishes a gate to come to; it goes before what the deploy files say. */
data class TargetOverride(val target: Target, val provenance: Provenance) {
    /** The stored form. */
    fun toFields(): Fields = mapOf("target" to target.storedName, "made" to provenance.toFields())

    companion object {
        fun parse(fields: Fields) =
            TargetOverride(Target.of(fields.text("target")), Provenance.parse(fields.map("made")))
    }
}

/** One line of the rollout's history. */
data class HistoryEntry(val change: String, val provenance: Provenance) {
    /** The stored form. */
    fun toFields(): Fields = mapOf("what" to change, "made" to provenance.toFields())

    companion object {
        fun parse(fields: Fields) = HistoryEntry(fields.text("what"), Provenance.parse(fields.map("made")))
    }
}

/**
 * All that is stored of the rollout, under one key, so that one condition covers every gate.
 *
 * @property excluded controllers that do not count, by label, and who excluded them
 */
data class RolloutRecord(
    val gates: Map<FeatureName, Gate> = emptyMap(),
    val targetOverrides: Map<FeatureName, TargetOverride> = emptyMap(),
    val excluded: Map<String, Provenance> = emptyMap(),
    val history: List<HistoryEntry> = emptyList(),
) {
    /** The state of the gate of [feature]; one without a gate is dormant. */
    fun stateOf(feature: FeatureName): GateState = gates[feature]?.state ?: GateState.DORMANT

    /** The least version that a process needs to read all that is stored, or may be stored at any moment. */
    val requiredVersion: FormatVersion
        get() = gates.values.filter { it.state.isActive }.maxOfOrNull { it.requires } ?: FormatVersion.NONE

    /** The oldest form that may still be stored: what is finalized is not found in its old form any more. */
    val finalizedVersion: FormatVersion
        get() = gates.values.filter { it.state == GateState.FINALIZED }.maxOfOrNull { it.requires }
            ?: FormatVersion.NONE

    /** With [feature]'s gate moved to [state]. */
    fun withGateState(feature: Feature, state: GateState, provenance: Provenance): RolloutRecord {
        val generation = (gates[feature.name]?.generation ?: 0L) + 1
        return copy(
            gates = gates + (feature.name to Gate(state, feature.requires, generation, provenance)),
        ).withHistoryEntry("${feature.name} ${state.storedName}", provenance)
    }

    /** With an operator's [target] for [feature]. */
    fun withTargetOverride(feature: FeatureName, target: Target, provenance: Provenance): RolloutRecord = copy(
        targetOverrides = targetOverrides + (feature to TargetOverride(target, provenance)),
    ).withHistoryEntry("$feature wished ${target.storedName}", provenance)

    /** With the controller [label] not counted. */
    fun withExcluded(label: String, provenance: Provenance): RolloutRecord =
        copy(excluded = excluded + (label to provenance)).withHistoryEntry("$label excluded", provenance)

    /** With the controller [label] counted again. */
    fun withIncluded(label: String, provenance: Provenance): RolloutRecord =
        copy(excluded = excluded - label).withHistoryEntry("$label included", provenance)

    private fun withHistoryEntry(change: String, provenance: Provenance) =
        copy(history = (history + HistoryEntry(change, provenance)).takeLast(LONGEST_HISTORY))

    /** As it is stored: with as much of the history as leaves it small enough for the smallest values. */

    /** The stored form. */
    fun toFields(): Fields {
        var kept = history
        while (kept.isNotEmpty() && BodyCodec.jsonSize(fieldsWith(kept)) > LARGEST_WITH_HISTORY) kept = kept.drop(1)
        return fieldsWith(kept)
    }

    private fun fieldsWith(kept: List<HistoryEntry>): Fields = mapOf(
        "layout" to LAYOUT,
        "gates" to gates.entries.associate { it.key.value to it.value.toFields() },
        "wishes" to targetOverrides.entries.associate { it.key.value to it.value.toFields() },
        "excluded" to excluded.mapValues { it.value.toFields() },
        "history" to kept.map { it.toFields() },
    )

    companion object {
        /** The layout of the record itself. A process that finds a newer one cannot know what it may write. */
        private const val LAYOUT = 1L

        /** Enough to see who opposed whom. */
        private const val LONGEST_HISTORY = 8

        /** In bytes. */
        private const val LARGEST_WITH_HISTORY = 1_700

        fun parse(fields: Fields): RolloutRecord {
            val layout = fields.count("layout")
            if (layout != LAYOUT) throw MalformedException("its layout is $layout, this version reads $LAYOUT")
            return RolloutRecord(
                named(fields.map("gates")) { Gate.parse(it) },
                named(fields.map("wishes")) { TargetOverride.parse(it) },
                fields.map("excluded").mapValues { Provenance.parse(asFields(it.value)) },
                fields.maps("history").map { HistoryEntry.parse(it) },
            )
        }

        private fun <T> named(fields: Fields, parse: (Fields) -> T): Map<FeatureName, T> =
            fields.entries.associate { FeatureName(it.key) to parse(asFields(it.value)) }
    }
}

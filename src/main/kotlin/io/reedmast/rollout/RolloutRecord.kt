package io.reedmast.rollout

import io.reedmast.wire.BodyCodec
import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import io.reedmast.wire.asFields
import io.reedmast.wire.count
import io.reedmast.wire.map
import io.reedmast.wire.maps
import io.reedmast.wire.text

/** How far a feature has been rolled out. [storedName] is the name in the rollout record. */
enum class GateState(val storedName: String, val isActive: Boolean) {
    /** It has not been established that every controller supports the feature. */
    DORMANT("dormant", isActive = false),

    /** Every controller supports the feature; nothing is stored in its format. */
    READY("ready", isActive = false),

    /** New records have the new format, and existing ones are being migrated. */
    ENABLED("enabled", isActive = true),

    /** New records have the old format again, and migrated ones are being converted back. */
    REVERTING("reverting", isActive = true),

    /** All records have the new format, and the feature can no longer be reverted. */
    FINALIZED("finalized", isActive = true),
    ;

    companion object {
        fun of(storedName: String): GateState = entries.firstOrNull { it.storedName == storedName }
            ?: throw MalformedException("$storedName is no state of a gate")
    }
}

/** The state that an operator or a deploy file requests for a gate. */
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

/** Who made a change, when (wall time), and for what reason. */
data class Provenance(val by: String, val atMs: Long, val reason: String) {
    /** The stored form. */
    fun toFields(): Fields = mapOf("by" to by, "at" to atMs, "why" to reason)

    companion object {
        private const val MAX_REASON_LENGTH = 80

        /** Truncates [reason]: operators write reasons, and a long one must not make the record too large to store. */
        fun of(by: String, atMs: Long, reason: String) = Provenance(by, atMs, reason.take(MAX_REASON_LENGTH))

        fun parse(fields: Fields) = Provenance(fields.text("by"), fields.count("at"), fields.text("why"))
    }
}

/**
 * The stored state of one feature.
 *
 * @property requires the minimum version that reads the feature's format, for controllers that do not know the feature
 * @property generation incremented with each transition: progress of a migration is valid only for the generation
 *   during which it was made
 * @property provenance the gate's last transition
 */
data class Gate(val state: GateState, val requires: FormatVersion, val generation: Long, val provenance: Provenance) {
    /** The stored form. */
    fun toFields(): Fields = mapOf(
        "state" to state.storedName,
        "requires" to requires.value.toLong(),
        "generation" to generation,
        "moved" to provenance.toFields(),
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

/** The target that an operator has set for a gate; it takes precedence over the targets in deploy files. */
data class TargetOverride(val target: Target, val provenance: Provenance) {
    /** The stored form. */
    fun toFields(): Fields = mapOf("target" to target.storedName, "made" to provenance.toFields())

    companion object {
        fun parse(fields: Fields) =
            TargetOverride(Target.of(fields.text("target")), Provenance.parse(fields.map("made")))
    }
}

/** One change in the rollout's history. */
data class HistoryEntry(val change: String, val provenance: Provenance) {
    /** The stored form. */
    fun toFields(): Fields = mapOf("what" to change, "made" to provenance.toFields())

    companion object {
        fun parse(fields: Fields) = HistoryEntry(fields.text("what"), Provenance.parse(fields.map("made")))
    }
}

/**
 * The stored state of the rollout, under one key, so that one precondition covers every gate.
 *
 * @property exclusions the controllers that do not participate, by label, with who excluded them
 */
data class RolloutRecord(
    val gates: Map<FeatureName, Gate> = emptyMap(),
    val targetOverrides: Map<FeatureName, TargetOverride> = emptyMap(),
    val exclusions: Map<String, Provenance> = emptyMap(),
    val history: List<HistoryEntry> = emptyList(),
) {
    /** The state of the gate of [feature]; a feature without a gate is dormant. */
    fun stateOf(feature: FeatureName): GateState = gates[feature]?.state ?: GateState.DORMANT

    /** The minimum version that reads everything that is stored now or may be stored at any moment. */
    val requiredVersion: FormatVersion
        get() = gates.values.filter { it.state.isActive }.maxOfOrNull { it.requires } ?: FormatVersion.NONE

    /** The oldest format version that may still be stored: no record of a finalized feature has its old format. */
    val finalizedVersion: FormatVersion
        get() = gates.values.filter { it.state == GateState.FINALIZED }.maxOfOrNull { it.requires }
            ?: FormatVersion.NONE

    /** A copy with the gate of [feature] in [state]. */
    fun withGateState(feature: Feature, state: GateState, provenance: Provenance): RolloutRecord {
        val generation = (gates[feature.name]?.generation ?: 0L) + 1
        return copy(
            gates = gates + (feature.name to Gate(state, feature.requires, generation, provenance)),
        ).withHistoryEntry("${feature.name} ${state.storedName}", provenance)
    }

    /** A copy with an operator's [target] for [feature]. */
    fun withTargetOverride(feature: FeatureName, target: Target, provenance: Provenance): RolloutRecord = copy(
        targetOverrides = targetOverrides + (feature to TargetOverride(target, provenance)),
    ).withHistoryEntry("$feature wished ${target.storedName}", provenance)

    /** A copy in which the controller [label] is excluded. */
    fun withExcluded(label: String, provenance: Provenance): RolloutRecord =
        copy(exclusions = exclusions + (label to provenance)).withHistoryEntry("$label excluded", provenance)

    /** A copy in which the controller [label] is no longer excluded. */
    fun withIncluded(label: String, provenance: Provenance): RolloutRecord =
        copy(exclusions = exclusions - label).withHistoryEntry("$label included", provenance)

    private fun withHistoryEntry(change: String, provenance: Provenance) =
        copy(history = (history + HistoryEntry(change, provenance)).takeLast(MAX_HISTORY_ENTRIES))

    /** The stored form, with as many of the latest history entries as fit the smallest limit on the size of a value. */
    fun toFields(): Fields {
        var kept = history
        while (kept.isNotEmpty() && BodyCodec.jsonSize(fieldsWith(kept)) > MAX_BYTES_WITH_HISTORY) kept = kept.drop(1)
        return fieldsWith(kept)
    }

    private fun fieldsWith(kept: List<HistoryEntry>): Fields = mapOf(
        "layout" to LAYOUT,
        "gates" to gates.entries.associate { it.key.value to it.value.toFields() },
        "wishes" to targetOverrides.entries.associate { it.key.value to it.value.toFields() },
        "excluded" to exclusions.mapValues { it.value.toFields() },
        "history" to kept.map { it.toFields() },
    )

    companion object {
        /** The layout of this record itself. A process that reads a newer layout cannot tell what it may write. */
        private const val LAYOUT = 1L

        /** Enough to see which operators have made opposing changes. */
        private const val MAX_HISTORY_ENTRIES = 8

        private const val MAX_BYTES_WITH_HISTORY = 1_700

        fun parse(fields: Fields): RolloutRecord {
            val layout = fields.count("layout")
            if (layout != LAYOUT) throw MalformedException("its layout is $layout, this version reads $LAYOUT")
            return RolloutRecord(
                parseByFeature(fields.map("gates")) { Gate.parse(it) },
                parseByFeature(fields.map("wishes")) { TargetOverride.parse(it) },
                fields.map("excluded").mapValues { Provenance.parse(asFields(it.value)) },
                fields.maps("history").map { HistoryEntry.parse(it) },
            )
        }

        private fun <T> parseByFeature(fields: Fields, parse: (Fields) -> T): Map<FeatureName, T> =
            fields.entries.associate { FeatureName(it.key) to parse(asFields(it.value)) }
    }
}

package io.reedmast.rollout

import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import io.reedmast.wire.asFields
import io.reedmast.wire.count
import io.reedmast.wire.optionalCount

/**
 * What a controller publishes about itself in its membership key.
 *
 * @property desired the target that its deploy file requests for each feature
 * @property incarnation identifies the process, for operator actions that concern one process only; null in keys of
 *   earlier versions
 * @property drained whether it has released all its shards and acquires none
 */
data class MemberVersions(
    val range: VersionRange,
    val desired: Map<FeatureName, Target>,
    val incarnation: String?,
    val drained: Boolean,
) {
    /** The fields that the membership key additionally contains. */
    fun toFields(): Fields = buildMap {
        put(OLDEST, range.oldest.value.toLong())
        put(NEWEST, range.newest.value.toLong())
        if (desired.isNotEmpty()) put(DESIRED, desired.entries.associate { it.key.value to it.value.storedName })
        if (incarnation != null) put(INCARNATION, incarnation)
        if (drained) put(DRAINED, true)
    }

    companion object {
        private const val OLDEST = "oldest"
        private const val NEWEST = "newest"
        private const val DESIRED = "desired"
        private const val INCARNATION = "incarnation"
        private const val DRAINED = "drained"

        /**
         * Parses a membership key; throws [MalformedException] if it is malformed. [legacyVersion] is the version that
         * the key states in the format of earlier versions, which had no range.
         */
        fun parse(fields: Fields, legacyVersion: FormatVersion): MemberVersions {
            val newest =
                fields.optionalCount(NEWEST)
                    ?: return MemberVersions(VersionRange(FormatVersion.NONE, legacyVersion), emptyMap(), null, false)
            val oldest = fields.count(OLDEST)
            if (oldest > newest) throw MalformedException("oldest is above newest")
            val desired = fields[DESIRED]?.let { asFields(it) }.orEmpty()
            return MemberVersions(
                VersionRange(FormatVersion(oldest.toInt()), FormatVersion(newest.toInt())),
                desired.entries.associate {
                    FeatureName(it.key) to
                        Target.of(it.value as? String ?: throw MalformedException("desired names no target"))
                },
                fields[INCARNATION] as? String,
                fields[DRAINED] == true,
            )
        }
    }
}

/** The content of a membership key that currently exists, with the version of the key. */
data class PresentMember(val versions: MemberVersions, val keyVersion: Long)

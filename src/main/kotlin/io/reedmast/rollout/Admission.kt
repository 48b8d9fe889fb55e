package io.reedmast.rollout

/** Whether this process may take part in the cluster, by the stored record of the rollout. */
sealed interface Admission {
    /** It reads and writes all forms that are in use. */
    data object Admitted : Admission

    /** The record cannot be read: nothing is written until it can be, and users are sent away for a while. */
    data class RecordUnreadable(val reason: String) : Admission

    /** It was excluded, and its versions fit: it may ask to count again, and does nothing else before that. */
    data object Excluded : Admission

    /** Its versions do not fit what is stored: the process must end without touching anything. */
    data class Incompatible(val reason: String) : Admission

    companion object {
        /** Decides for the controller [self], whose process reads and writes [range]. */
        fun of(self: String, range: VersionRange, record: RolloutRecord): Admission {
            val required = record.requiredVersion
            val finalized = record.finalizedVersion
            val excluded = record.excluded[self]
            return when {
                required > range.newest -> Incompatible(
                    "the cluster requires version $required, this process has $range",
                )
                finalized < range.oldest && isInUse(
                    record,
                ) -> Incompatible("records of version $finalized may be stored, this process has $range")
                excluded != null -> Excluded
                else -> Admitted
            }
        }

        /** Without any gate the cluster has never been rolled out, and says nothing of what is stored. */
        private fun isInUse(record: RolloutRecord) = record.gates.isNotEmpty()
    }
}

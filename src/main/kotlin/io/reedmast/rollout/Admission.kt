package io.reedmast.rollout

/** Whether this process may take part in the cluster, according to the stored rollout record. */
sealed interface Admission {
    /** The process reads and writes all formats that are in use. */
    data object Admitted : Admission

    /**
     * The rollout record cannot be read: until it can be, nothing is written and users' requests are rejected as
     * temporarily unavailable.
     */
    data class RecordUnreadable(val reason: String) : Admission

    /**
     * An operator excluded this controller, and its versions are compatible: it may request to be included again, and
     * does nothing else until it is.
     */
    data object Excluded : Admission

    /** Its versions are incompatible with what is stored: the process must exit without changing anything. */
    data class Incompatible(val reason: String) : Admission

    companion object {
        /** The admission of the controller [self], whose process reads and writes the versions in [range]. */
        fun of(self: String, range: VersionRange, record: RolloutRecord): Admission {
            val required = record.requiredVersion
            val finalized = record.finalizedVersion
            val excluded = record.exclusions[self]
            return when {
                required > range.newest -> Incompatible(
                    "the cluster requires version $required, this process has $range",
                )
                finalized < range.oldest && isInUse(record) -> Incompatible(
                    "records of version $finalized may be stored, this process has $range",
                )
                excluded != null -> Excluded
                else -> Admitted
            }
        }

        /** A record without any gate says nothing about what is stored: no feature has ever been rolled out. */
        private fun isInUse(record: RolloutRecord) = record.gates.isNotEmpty()
    }
}

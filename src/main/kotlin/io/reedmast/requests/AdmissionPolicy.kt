package io.reedmast.requests

import io.reedmast.placement.areZoneRulesUnsatisfiable
import io.reedmast.settings.Settings
import io.reedmast.settings.TeamShare
import io.reedmast.wire.JobShape
import io.reedmast.wire.JobSpec
import io.reedmast.wire.MachineType

/** Decides which submitted jobs are accepted, by the team's quota limit and by what the cloud offers. */
internal class AdmissionPolicy(
    private val settings: Settings,
    /** The cloud's machine types, by name; empty until they are known. */
    private val machineTypes: () -> Map<String, MachineType>,
    /** Whether this controller takes part in the cluster and reaches the store. */
    private val isReady: () -> Boolean,
) {
    /** Decides on a submitted job of which no record is known. */
    fun decide(spec: JobSpec): AdmissionDecision {
        val team = settings.teamsByName[spec.teamName] ?: return AdmissionDecision.Rejected("unknown team")
        val types = machineTypes().values
        return when {
            exceedsLimit(spec, settings.teams[team.value]) -> AdmissionDecision.Rejected("more than the team's limit")
            types.isEmpty() || !isReady() -> AdmissionDecision.Undecided
            areZoneRulesUnsatisfiable(spec, zonesOf(types)) ->
                AdmissionDecision.Rejected("the gang's zone rules leave it no place")
            !fitsSomewhere(spec, types) -> AdmissionDecision.Rejected("a task fits no allowed machine type")
            else -> AdmissionDecision.Admitted(team)
        }
    }

    /** Whether the job can never run within its team's limit, given that the tasks of an array may run one by one. */
    private fun exceedsLimit(spec: JobSpec, share: TeamShare): Boolean {
        val tasksAtOnce = if (spec.shape == JobShape.ARRAY) 1.0 else spec.taskCount.toDouble()
        return exceeds(spec.cpus * tasksAtOnce, share.maxCpus) || exceeds(spec.gpus * tasksAtOnce, share.maxGpus)
    }

    /** A limit of 0 means that there is none. */
    private fun exceeds(amount: Double, limit: Double): Boolean = limit > 0 && amount > limit + ROUNDING_TOLERANCE

    private fun zonesOf(types: Collection<MachineType>): Set<String> = types.flatMapTo(HashSet()) { it.zones }

    private fun fitsSomewhere(spec: JobSpec, types: Collection<MachineType>): Boolean =
        isKnownZone(spec.zone, types) && types.any { fits(spec, it) }

    private fun isKnownZone(zone: String?, types: Collection<MachineType>): Boolean =
        zone == null || zone in settings.zones || types.any { zone in it.zones }

    /** Whether a machine of this type may run one task of the job and has room for it while it is empty. */
    private fun fits(spec: JobSpec, type: MachineType): Boolean =
        (spec.allowedTypes == null || type.label in spec.allowedTypes) &&
            type.capacityFor(spec.cpus, spec.gpus, spec.memoryGb) >= 1 &&
            (spec.zone == null || type.zones.isEmpty() || spec.zone in type.zones)

    private companion object {
        const val ROUNDING_TOLERANCE = 1e-9
    }
}

package io.reedmast.placement

import io.reedmast.model.MachineRecord
import io.reedmast.wire.JobSpec

/** Whether a job may ever run on a machine of this kind, whatever else runs on it (PROTOCOL, POST /submissions). */
fun isEligible(spec: JobSpec, typeName: String, zone: String, spot: Boolean): Boolean =
    (!spot || spec.spot) && (spec.allowedTypes == null || typeName in spec.allowedTypes) &&
        (spec.zone == null || zone == spec.zone)

/** Whether a job may ever run on this machine, whatever else runs on it. */
internal fun isEligible(spec: JobSpec, machine: MachineRecord): Boolean =
    isEligible(spec, machine.typeName, machine.zone, machine.spot)

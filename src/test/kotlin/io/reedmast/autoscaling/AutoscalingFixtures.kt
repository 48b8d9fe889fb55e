package io.reedmast.autoscaling

import io.reedmast.wire.MachineType

/** A machine type without GPUs in the zones x and y, with more memory than the tasks of [demand] can fill. */
internal fun machineType(label: String, cpus: Double, hourlyPrice: Double, spotPrice: Double?) = MachineType(
    label,
    cpus,
    gpus = 0.0,
    memoryGb = 1000.0,
    cacheGb = 50.0,
    fetchGbPerS = 0.5,
    hourlyPrice,
    spotPrice,
    bootS = 20.0,
    zones = listOf("x", "y"),
)

/** Demand of tasks that take one CPU each. */
internal fun demand(
    taskCount: Int,
    spot: Boolean = false,
    zone: String? = null,
    allowedTypes: List<String>? = null,
    pastDeadline: Boolean = false,
) = Demand(
    meanCpus = 1.0,
    meanGpus = 0.0,
    meanMemoryGb = 1.0,
    maxCpus = 1.0,
    maxGpus = 0.0,
    maxMemoryGb = 1.0,
    spot,
    allowedTypes,
    zone,
    pastDeadline,
    taskCount,
)

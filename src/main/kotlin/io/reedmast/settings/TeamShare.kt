package io.reedmast.settings

/**
 * A team's guaranteed quota and its limits.
 *
 * @property cpus guaranteed CPUs; [gpus] likewise.
 * @property maxCpus the limit on the CPUs in use at any time; 0: no limit. [maxGpus] likewise.
 */
data class TeamShare(val name: String, val cpus: Double, val maxCpus: Double, val gpus: Double, val maxGpus: Double)

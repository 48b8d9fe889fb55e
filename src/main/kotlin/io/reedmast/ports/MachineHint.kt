package io.reedmast.ports

/** One machine's facts as owners tell each other. */
data class MachineHint(val machineName: String, val addr: String, val images: List<Pair<String, Double>>)

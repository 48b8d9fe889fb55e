package io.reedmast.ports

/**
 * One machine's facts as owners of shards publish them to each other, for use after a failover.
 *
 * @property addr where its worker takes direct calls, as `address:port`
 * @property images the images in its cache, each with its size in GB
 */
data class MachineHint(val machineName: String, val addr: String, val images: List<Pair<String, Double>>)

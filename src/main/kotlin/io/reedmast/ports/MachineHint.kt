package io.reedmast.ports

/**
 * Facts about one machine that owners of shards publish to each other, for use after a failover.
 *
 * @property addr where its worker accepts direct calls, as `address:port`
 * @property images the images in its cache, each with its size in GB
 */
data class MachineHint(val machineName: String, val addr: String, val images: List<Pair<String, Double>>)

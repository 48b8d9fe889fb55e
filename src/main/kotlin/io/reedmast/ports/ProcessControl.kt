package io.reedmast.ports

/** What decisions ask of the process that they run in. */
interface ProcessControl {
    /** How many controllers share the limits of the store and the cloud; the leader gets more of the cloud's. */
    fun shareLimits(aliveControllers: Int, leading: Boolean)

    /** This process must not go on, for [reason]: it ends without touching anything more. */
    fun end(reason: String)

    /** How many machines there are, each of which may have a connection to this controller. */
    fun expectMachines(count: Int)
}

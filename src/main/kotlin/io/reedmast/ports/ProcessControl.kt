package io.reedmast.ports

/** What decisions ask of the process that they run in. */
interface ProcessControl {
    /**
     * Tells that [aliveControllers] share the rate limits of the store and the cloud. With [leading] this controller
     * gets the leader's part of the cloud's limit, which is the larger one.
     */
    fun shareLimits(aliveControllers: Int, leading: Boolean)

    /** This process must not go on, for [reason]: it ends without touching anything more. */
    fun terminate(reason: String)

    /** Tells that there are [count] machines, each of which may have a connection to this controller. */
    fun expectMachines(count: Int)
}

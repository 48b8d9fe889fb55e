package io.reedmast.ports

/** What the code on the event loop requires from the process that it runs in. */
interface ProcessControl {
    /**
     * Sets this controller's share of the rate limits of the store and the cloud, which are shared by
     * [aliveControllers] controllers. With [leading] it gets the leader's share of the cloud's limit, which is the
     * larger one.
     */
    fun shareLimits(aliveControllers: Int, leading: Boolean)

    /** Terminates this process, which must not go on because of [reason], without any further action. */
    fun terminate(reason: String)

    /** Announces that there are [count] machines, each of which may have a connection to this controller. */
    fun expectMachines(count: Int)
}

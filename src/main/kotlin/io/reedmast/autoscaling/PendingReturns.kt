package io.reedmast.autoscaling

/** Machines of no shard whose return to the cloud has been requested but not answered yet. */
internal class PendingReturns {
    private val machineNames = HashSet<String>()

    operator fun contains(machineName: String): Boolean = machineName in machineNames

    /** Records that the return of the machines is being requested. */
    fun addAll(names: Collection<String>) {
        machineNames.addAll(names)
    }

    /** Records that the request to return the machines has been answered, or has failed. */
    fun removeAll(names: Collection<String>) {
        machineNames.removeAll(names.toSet())
    }
}

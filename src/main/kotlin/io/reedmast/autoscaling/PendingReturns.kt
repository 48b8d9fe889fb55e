package io.reedmast.autoscaling

/** Machines of no shard whose return to the cloud has been requested and not answered yet. */
internal class PendingReturns {
    private val machineNames = HashSet<String>()

    operator fun contains(machineName: String): Boolean = machineName in machineNames

    /** Their return is being requested. */
    fun addAll(names: Collection<String>) {
        machineNames.addAll(names)
    }

    /** The request has been answered, or has failed. */
    fun removeAll(names: Collection<String>) {
        machineNames.removeAll(names.toSet())
    }
}

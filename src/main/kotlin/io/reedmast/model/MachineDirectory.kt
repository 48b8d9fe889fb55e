package io.reedmast.model

import io.reedmast.ports.MachineHint

/**
 * Worker addresses and cached images of all machines, which the shards' owners send to the other controllers.
 *
 * They allow a controller that acquires a shard to announce its token to the workers at once, and to place tasks on
 * machines that have their images.
 */
class MachineDirectory {
    private val factsByMachine = HashMap<String, MachineFacts>()

    /**
     * The facts known about the machine. If this controller owns the machine's shard, the shard's [Machine] holds this
     * same object and updates it from the worker's heartbeats.
     */
    fun factsOf(machineName: String): MachineFacts = factsByMachine.getOrPut(machineName) { MachineFacts(machineName) }

    /** Removes a machine that is gone. */
    fun remove(machineName: String) {
        factsByMachine.remove(machineName)
    }

    /** The hints about [machineNames] to be sent: those that changed since they were last sent, or [all]. */
    fun hints(machineNames: Collection<String>, all: Boolean): List<MachineHint> =
        machineNames.mapNotNull { hint(it, all) }

    private fun hint(machineName: String, always: Boolean): MachineHint? {
        val facts = factsByMachine[machineName] ?: return null
        val addr = facts.addr ?: return null
        if (!always && !facts.hasUnsentChanges) return null
        facts.hasUnsentChanges = false
        return MachineHint(machineName, addr, facts.images.entries.map { it.key to it.value })
    }

    /** Applies hints from an owner; machines that are not [known] to belong to a shard are ignored. */
    fun applyHints(hints: List<MachineHint>, known: (String) -> Boolean) {
        for (hint in hints) {
            if (known(hint.machineName)) factsOf(hint.machineName).replace(hint.addr, hint.images)
        }
    }
}

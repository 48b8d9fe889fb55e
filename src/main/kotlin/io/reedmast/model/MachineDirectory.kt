package io.reedmast.model

import io.reedmast.ports.MachineHint

/**
 * Addresses and images of all machines, sent by their owners to the other controllers.
 *
 * A controller that acquires a shard can so show its token to the workers at once, and place work where its images are.
 */
class MachineDirectory {
    private val factsByMachine = HashMap<String, MachineFacts>()

    /** What is known of the machine, now and later on: the owner records there what its heartbeats show. */
    fun factsOf(machineName: String): MachineFacts = factsByMachine.getOrPut(machineName) { MachineFacts(machineName) }

    /** The machine is gone. */
    fun remove(machineName: String) {
        factsByMachine.remove(machineName)
    }

    /** What to send of [machineNames]: what has changed since it was last sent, or [all]. */
    fun hints(machineNames: Collection<String>, all: Boolean): List<MachineHint> =
        machineNames.mapNotNull { hint(it, all) }

    private fun hint(machineName: String, always: Boolean): MachineHint? {
        val facts = factsByMachine[machineName] ?: return null
        val addr = facts.addr ?: return null
        if (!always && !facts.changed) return null
        facts.changed = false
        return MachineHint(machineName, addr, facts.images.entries.map { it.key to it.value })
    }

    /** Applies what an owner has sent of machines that are [known] to belong to some shard. */
    fun applyHints(hints: List<MachineHint>, known: (String) -> Boolean) {
        for (hint in hints) {
            if (known(hint.machineName)) factsOf(hint.machineName).replace(hint.addr, hint.images)
        }
    }
}

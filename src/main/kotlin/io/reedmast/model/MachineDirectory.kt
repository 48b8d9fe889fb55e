package io.reedmast.model

import io.reedmast.ports.MachineHint

/**
 * Addresses and images of all machines, told by their owners to the other controllers.
 *
 * A controller that takes a shard over can so show its token to the workers at once, and place work where its images
 * are.
 */
class MachineDirectory {
    private val facts = HashMap<String, MachineFacts>()

    fun of(machineName: String): MachineFacts = facts.getOrPut(machineName) { MachineFacts(machineName) }

    fun forget(machineName: String) {
        facts.remove(machineName)
    }

    /** What to tell of [machineNames]: what has changed, or [all]. */
    fun hints(machineNames: Collection<String>, all: Boolean): List<MachineHint> {
        val hints = ArrayList<MachineHint>()
        for (machineName in machineNames) {
            val of = facts[machineName] ?: continue
            val addr = of.addr ?: continue
            if (!all && !of.changed) continue
            of.changed = false
            hints.add(MachineHint(machineName, addr, of.images.entries.map { it.key to it.value }))
        }
        return hints
    }

    /** Takes up what an owner tells of machines that are [known] to belong to some shard. */
    fun heard(hints: List<MachineHint>, known: (String) -> Boolean) {
        for (hint in hints) {
            if (!known(hint.machineName)) continue
            val mine = of(hint.machineName)
            mine.addr = hint.addr
            mine.images.clear()
            hint.images.forEach { (image, imageGb) -> mine.images[image] = imageGb }
            mine.changed = false
        }
    }
}

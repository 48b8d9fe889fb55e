package io.reedmast.commands

import io.reedmast.model.Machine
import io.reedmast.wire.WorkerCommand

/** Commands that were decided and are yet to be sent: by machine, in the order in which they were decided. */
internal class CommandQueue {
    private val commandsByMachine = LinkedHashMap<Machine, MutableList<WorkerCommand>>()

    /** Queues [command] behind what is queued for [machine]. */
    fun add(machine: Machine, command: WorkerCommand) {
        commandsByMachine.getOrPut(machine) { ArrayList() }.add(command)
    }

    /** Empties the queue and returns what was in it. */
    fun drain(): Map<Machine, List<WorkerCommand>> {
        if (commandsByMachine.isEmpty()) return emptyMap()
        val drained = LinkedHashMap<Machine, List<WorkerCommand>>(commandsByMachine)
        commandsByMachine.clear()
        return drained
    }
}
